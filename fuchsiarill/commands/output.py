"""Formats in which answers are printed, in a registry."""

import json
from collections.abc import Callable, Mapping
from typing import Any, Final

import yaml

from fuchsiarill.registry import Registry

Formatter = Callable[[Any], str]

FORMATTERS: Final[Registry[str, Formatter]] = Registry('output formats')


@FORMATTERS.register('json')
def as_json(content: Any) -> str:
    """Return indented JSON."""
    return json.dumps(content, indent=2, sort_keys=True)


@FORMATTERS.register('yaml')
def as_yaml(content: Any) -> str:
    """Return block-style YAML."""
    return yaml.safe_dump(content, sort_keys=False).rstrip()


@FORMATTERS.register('table')
def as_table(content: Any) -> str:
    """Return aligned columns for a list of mappings, and lines otherwise.

    A mapping gives `name: value` lines, any other list a line for each item.
    """
    if isinstance(content, list):
        return _format_table(content)
    if isinstance(content, Mapping):
        return '\n'.join(
            f'{name}: {_format_cell(entry)}' for name, entry in content.items()
        )
    return str(content)


def _format_table(rows: list[Any]) -> str:
    if not rows:
        return '(none)'
    if not isinstance(rows[0], Mapping):
        return '\n'.join(str(row) for row in rows)
    columns: dict[str, None] = {}
    for row in rows:
        columns.update(dict.fromkeys(row))
    lines = [[name.upper() for name in columns]]
    for row in rows:
        lines.append([_format_cell(row.get(name)) for name in columns])
    widths = [
        max(len(line[position]) for line in lines)
        for position in range(len(columns))
    ]
    return '\n'.join(_align_cells(line, widths) for line in lines)


def _align_cells(line: list[str], widths: list[int]) -> str:
    padded = [
        cell.ljust(width) for cell, width in zip(line, widths, strict=True)
    ]
    return '  '.join(padded).rstrip()


def _format_cell(entry: Any) -> str:
    if entry is None:
        return '-'
    if isinstance(entry, list):
        return ','.join(_format_cell(part) for part in entry) or '-'
    if isinstance(entry, Mapping):
        return json.dumps(entry, sort_keys=True)
    return str(entry)
