"""Rows by key, of which the least recently used ones are dropped."""

from collections import OrderedDict
from collections.abc import Hashable
from typing import TypeVar

_Key = TypeVar('_Key', bound=Hashable)
_Row = TypeVar('_Row')


def use_row(
    rows: OrderedDict[_Key, _Row], key: _Key, empty: _Row, max_count: int
) -> _Row:
    """Return the row of a key, first `empty`, as the latest one."""
    row = rows.setdefault(key, empty)
    rows.move_to_end(key)
    if len(rows) > max_count:
        rows.popitem(last=False)
    return row
