"""A faulty configuration is refused with line and field of each problem."""

from pathlib import Path
from typing import Any

import pytest
import yaml

from fuchsiarill.cell_config import parse_config

_CASES = yaml.safe_load(
    Path(__file__).with_name('cases').joinpath('configs.yaml').read_text(),
)


@pytest.mark.parametrize('case', _CASES, ids=lambda case: case['name'])
def test_faulty_config(case: dict[str, Any]) -> None:
    """Guards against a fault that is accepted or named without its place."""
    found = [problem.text for problem in parse_config(case['text']).failure()]
    for expected in case['problems']:
        assert any(expected in text for text in found), found
