"""Every trace under traces/ meets its stated outcomes.

KNOWN-RED.txt may list a trace with the outcomes that it does not meet, as
`trace: NAME: OUTCOME, OUTCOME`. Exactly these outcomes are expected to fail;
the test fails when a listed outcome is met, so that the list stays current.
"""

from pathlib import Path
from typing import Final

import pytest

from fuchsiarill.replay.runner import replay
from fuchsiarill.replay.trace import load_trace

_ROOT: Final = Path(__file__).parents[1]
_TRACES: Final = sorted((_ROOT / 'traces').glob('*.yaml'))
_ENTRY_PREFIX: Final = 'trace: '


def _known_red() -> dict[str, set[str]]:
    known: dict[str, set[str]] = {}
    for line in (_ROOT / 'KNOWN-RED.txt').read_text().splitlines():
        if not line.startswith(_ENTRY_PREFIX):
            continue
        name, _, outcomes = line.removeprefix(_ENTRY_PREFIX).partition(': ')
        known[name] = {part.strip() for part in outcomes.split(',')}
    return known


@pytest.mark.parametrize('path', _TRACES, ids=lambda path: path.stem)
def test_trace(path: Path) -> None:
    """Guards against a change that violates a stated outcome of a trace."""
    replayed = replay(load_trace(path).unwrap())
    unmet = {
        found.outcome: str(found.violations[0]) for found in replayed.unmet
    }
    expected = _known_red().get(path.stem, set())
    assert set(unmet) == expected, unmet
    if unmet:
        pytest.xfail(f'known red: {path.stem}: {unmet}')


def test_known_red_names_traces_that_exist() -> None:
    """Guards against an entry for a trace that is not run."""
    assert set(_known_red()) <= {path.stem for path in _TRACES}
