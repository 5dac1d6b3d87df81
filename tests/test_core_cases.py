"""Tests of the core, driven by the cases in `cases/core_*.yaml`.

Each case names the failure that it guards against.
"""

from pathlib import Path
from typing import Any

import pytest
import yaml

from tests.core_harness import Cell

_CASES = [
    pytest.param(case, id=f'{path.stem}: {case["name"]}')
    for path in sorted(
        Path(__file__).with_name('cases').glob('core_*.yaml'),
    )
    for case in yaml.safe_load(path.read_text())
]


@pytest.mark.parametrize('case', _CASES)
def test_case(case: dict[str, Any]) -> None:
    """Guards against the failure that the case names."""
    Cell(case).run(case['steps'])
