"""Invalid configurations and settings are refused with all their problems."""

from pathlib import Path
from typing import Any

import pytest
import yaml
from returns.result import Failure, Success

from fuchsiarill.cell_config import (
    MAX_CONFIG_BYTES,
    config_digest,
    parse_config,
    partition_change_problems,
)
from fuchsiarill.settings import load_settings

_CASES = Path(__file__).with_name('cases')
_CELL = (_CASES / 'cell.yaml').read_text()
_SETTINGS = (_CASES / 'settings.yaml').read_text()


def _cases(name: str) -> Any:
    return yaml.safe_load((_CASES / name).read_text())


def _with_lines(text: str, new_lines: dict[int, str]) -> str:
    lines = text.splitlines()
    for number, line in new_lines.items():
        lines[number - 1] = line
    return '\n'.join(lines)


def _check_problems(sentences: list[str], expected: list[str]) -> None:
    starts = [
        sentence[: len(start)]
        for sentence, start in zip(sentences, expected, strict=False)
    ]
    assert (starts, len(sentences)) == (expected, len(expected)), sentences


@pytest.mark.parametrize(
    'case',
    _cases('bad_configurations.yaml'),
    ids=lambda case: case['name'],
)
def test_faulty_configuration_is_refused(case: dict[str, Any]) -> None:
    """Guards against invalid documents in force, and unreported problems."""
    text = case.get('text')
    if text is None:
        text = _with_lines(_CELL, case['lines'])
    refusals = parse_config(text).failure()
    _check_problems([refusal.text for refusal in refusals], case['problems'])


@pytest.mark.parametrize(
    'case',
    _cases('bad_settings.yaml'),
    ids=lambda case: case['name'],
)
def test_faulty_settings_are_refused(
    case: dict[str, Any],
    tmp_path: Path,
) -> None:
    """Guards against a daemon that starts with invalid settings."""
    path = tmp_path / 'settings.yaml'
    path.write_text(_with_lines(_SETTINGS, case['lines']))
    expected = [f'{path}: {problem}' for problem in case['problems']]
    _check_problems(list(load_settings(path).failure()), expected)


def test_valid_documents_are_read(tmp_path: Path) -> None:
    """Guards against checks that refuse valid documents."""
    assert isinstance(parse_config(_CELL), Success)
    path = tmp_path / 'settings.yaml'
    path.write_text(_SETTINGS)
    assert isinstance(load_settings(path), Success)


def test_size_limit() -> None:
    """Guards against a document that the store would refuse."""
    padded = _CELL + '#' * MAX_CONFIG_BYTES
    assert isinstance(parse_config(padded), Failure)


def test_digest_depends_on_content_only() -> None:
    """Guards against processes whose digests differ for equal content."""
    plain = parse_config(_CELL).unwrap()
    commented = parse_config(f'# A comment.\n{_CELL}').unwrap()
    changed = parse_config(_with_lines(_CELL, {11: '    weight: 3'})).unwrap()
    assert config_digest(plain) == config_digest(commented)
    assert config_digest(plain) != config_digest(changed)


@pytest.mark.parametrize(
    ('line', 'start'),
    [
        ('  - {name: surat, partitions_count: 3}', 'line 5: regions.1.partit'),
        ('  - {name: jamnagar, partitions_count: 2}', 'line 4: regions: regio'),
    ],
)
def test_partitions_stay(line: str, start: str) -> None:
    """Guards against a change after which jobs belong to no partition."""
    old_config = parse_config(_CELL).unwrap()
    text = _with_lines(_CELL, {5: line, 17: '    region: rajkot'})
    new_config = parse_config(text).unwrap()
    problems = partition_change_problems(text, old_config, new_config)
    _check_problems([problem.text for problem in problems], [start])
    assert not partition_change_problems(_CELL, old_config, old_config)
