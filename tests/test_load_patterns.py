"""Every load pattern under traces/load/ has its stated outcomes."""

from pathlib import Path
from typing import Final

import pytest

from tests.load_pattern import LOAD_FOLDER, load_pattern
from tests.load_replay import LoadReplay

_PATTERNS: Final = sorted(LOAD_FOLDER.glob('*.yaml'))
_NAMES: Final = [path.stem for path in _PATTERNS]


@pytest.mark.parametrize('path', _PATTERNS, ids=_NAMES)
def test_load_pattern_has_its_outcomes(path: Path) -> None:
    """Guards against the fault that the pattern names under `about`."""
    pattern = load_pattern(path)
    replay = LoadReplay(pattern)
    replay.run()
    measured = {
        outcome: replay.measure(outcome) for outcome in pattern.outcomes
    }
    missed = {
        outcome: figure
        for outcome, figure in measured.items()
        if not outcome.at_least <= figure <= outcome.at_most
    }
    assert not missed, measured
