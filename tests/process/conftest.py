"""Fixture that runs a cell of real processes for each test."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.process.harness import Harness
from tools.cell import Cell
from tools.deployment import load_deployment

_CASES = Path(__file__).resolve().parent.parent / 'cases'


@pytest.fixture
def harness(tmp_path: Path) -> Iterator[Harness]:
    """Run a cell of three entry processes and four workers, then end it."""
    deployment = load_deployment(_CASES / 'process_hosts.yaml')
    configuration = (_CASES / deployment.configuration).read_text()
    with Cell(deployment, configuration, tmp_path) as cell:
        yield Harness(cell)
