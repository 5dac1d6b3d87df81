"""Replays trace files and prints the violations of unmet outcomes.

Exit status: 0 when every outcome is met, 1 when one is not, 2 when a trace
file is invalid or cannot be read.
"""

import sys
from collections.abc import Iterable
from enum import Enum
from pathlib import Path
from typing import Final

from loguru import logger
from returns.result import Failure, Success

from fuchsiarill.replay.runner import ReplayResult, replay
from fuchsiarill.replay.trace import Trace, load_trace

_SHOWN_VIOLATIONS_COUNT: Final = 3
_DIGEST_CHARACTERS: Final = 12


class ReplayStatus(Enum):
    """Exit status of a replay; of several files, the highest one counts."""

    MET = 0
    UNMET = 1
    BAD_TRACE = 2


def replay_files(paths: Iterable[Path]) -> int:
    """Replay files in order and return the highest exit status."""
    logger.remove()
    return max(_replay_file(path).value for path in paths)


def _replay_file(path: Path) -> ReplayStatus:
    try:
        loaded = load_trace(path)
    except OSError as error:
        print(error)
        return ReplayStatus.BAD_TRACE
    match loaded:
        case Success(trace):
            return _replay_trace(trace)
        case Failure(problems):
            for problem in problems:
                print(problem)
    return ReplayStatus.BAD_TRACE


def _replay_trace(trace: Trace) -> ReplayStatus:
    replayed = replay(trace)
    for unmet in replayed.unmet:
        for violation in unmet.violations[:_SHOWN_VIOLATIONS_COUNT]:
            print(f'  {unmet.outcome}: {violation}')
        more_count = len(unmet.violations) - _SHOWN_VIOLATIONS_COUNT
        if more_count > 0:
            print(f'  {unmet.outcome}: and {more_count} more')
    print(_summary(trace, replayed))
    return ReplayStatus.UNMET if replayed.unmet else ReplayStatus.MET


def _summary(trace: Trace, replayed: ReplayResult) -> str:
    status = 'unmet' if replayed.unmet else 'met'
    return (
        f'{status:5} {trace.name}: {len(trace.outcomes)} outcomes, '
        f'{len(replayed.unmet)} unmet, {len(replayed.log.entries)} events, '
        f'log {replayed.log.digest()[:_DIGEST_CHARACTERS]}'
    )


if __name__ == '__main__':
    sys.exit(replay_files([Path(argument) for argument in sys.argv[1:]]))
