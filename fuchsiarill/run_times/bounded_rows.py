"""Rows by key, of which the least recently used ones are dropped."""

from collections import OrderedDict
from collections.abc import Callable, Hashable
from typing import TypeVar

_Key = TypeVar('_Key', bound=Hashable)
_Row = TypeVar('_Row')


def use_row(
    rows: OrderedDict[_Key, _Row],
    key: _Key,
    create: Callable[[], _Row],
    max_count: int,
) -> _Row:
    """Return the row of a key, which is created if needed, as the latest."""
    row = rows.get(key)
    if row is not None:
        rows.move_to_end(key)
        return row
    row = create()
    rows[key] = row
    if len(rows) > max_count:
        rows.popitem(last=False)
    return row
