"""Switches off one mechanism at a time and shows which trace notices.

A mutation patches the loaded code in memory; the trace that is meant for the
mechanism must then have an unmet outcome that it meets otherwise.
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
    """Print the table; returns 1 if a mutation goes unnoticed."""
    logger.remove()
    is_unnoticed = False
    for name in MUTATIONS:
        mutated = MUTATIONS.lookup(name)
        trace = load_trace(_TRACES / f'{mutated.trace}.yaml').unwrap()
        before = {found.outcome for found in replay(trace).unmet}
        with ExitStack() as stack:
            for patch in mutated.patches():
                stack.enter_context(patch)
            after = {found.outcome for found in replay(trace).unmet}
        noticed = sorted(after - before)
        is_unnoticed = is_unnoticed or not noticed
        verdict = f'red: {", ".join(noticed)}' if noticed else 'not red'
        print(f'{name} | {mutated.trace} | {verdict}')
    return int(is_unnoticed)


if __name__ == '__main__':
    sys.exit(main())
