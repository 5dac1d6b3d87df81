"""Mutation tests: disables one mechanism at a time and replays its trace.

A mutation patches the loaded code in memory. With it, the trace that tests
the mechanism must fail to reach an expected outcome that it reaches without.
"""

import sys
from contextlib import ExitStack
from pathlib import Path
from typing import Final

from loguru import logger

from fuchsiarill.replay.runner import replay
from fuchsiarill.replay.trace import load_trace
from tools import mutations_core, mutations_owner  # noqa: F401
from tools.mutation import MUTATIONS

_TRACES: Final = Path(__file__).parents[1] / 'traces'


def main() -> int:
    """Print a table; returns 1 if a trace does not detect its mutation."""
    logger.remove()
    is_undetected = False
    for name in MUTATIONS:
        mutation = MUTATIONS.lookup(name)
        trace = load_trace(_TRACES / f'{mutation.trace}.yaml').unwrap()
        before = {found.outcome for found in replay(trace).unmet}
        with ExitStack() as stack:
            for patch in mutation.patches():
                stack.enter_context(patch)
            after = {found.outcome for found in replay(trace).unmet}
        detected = sorted(after - before)
        is_undetected = is_undetected or not detected
        verdict = (
            f'unmet: {", ".join(detected)}' if detected else 'not detected'
        )
        print(f'{name} | {mutation.trace} | {verdict}')
    return int(is_undetected)


if __name__ == '__main__':
    sys.exit(main())
