"""Invalid traces are rejected with file, line and field."""

from pathlib import Path

import pytest
import yaml
from returns.result import Failure, Success

from fuchsiarill.replay.trace import parse_trace

_CASES = yaml.safe_load(
    Path(__file__).with_name('cases').joinpath('traces.yaml').read_text(),
)


@pytest.mark.parametrize('case', _CASES, ids=lambda case: case['name'])
def test_bad_trace_names_every_problem(case: dict[str, str]) -> None:
    """Guards against a misspelt field or kind that is silently ignored."""
    match parse_trace('bad.yaml', case['text']):
        case Failure(problems):
            found = [str(problem) for problem in problems]
            assert found == list(case['problems'])
        case Success(_):
            pytest.fail('the trace was accepted')
