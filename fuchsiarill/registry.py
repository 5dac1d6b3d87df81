"""Registries that decorators fill with the variants of one behaviour."""

from collections.abc import Callable, Hashable, Iterator
from typing import Generic, TypeVar

_Key = TypeVar('_Key', bound=Hashable)
_Entry = TypeVar('_Entry')


class Registry(Generic[_Key, _Entry]):
    """Maps a key to the function or class registered for it."""

    def __init__(self, title: str) -> None:
        """Create an empty registry; `title` names it in error messages."""
        self._title = title
        self._entries: dict[_Key, _Entry] = {}

    def register(self, key: _Key) -> Callable[[_Entry], _Entry]:
        """Return a decorator that registers its target under `key`.

        Raises `ValueError` when the key is taken.
        """

        def decorator(entry: _Entry) -> _Entry:
            if key in self._entries:
                raise ValueError(f'{self._title}: {key!r} is registered twice')
            self._entries[key] = entry
            return entry

        return decorator

    def lookup(self, key: _Key) -> _Entry:
        """Return the entry of `key`; raises `KeyError` naming the registry."""
        if key not in self._entries:
            raise KeyError(f'{self._title}: {key!r} is not registered')
        return self._entries[key]

    def __contains__(self, key: object) -> bool:
        return key in self._entries

    def __iter__(self) -> Iterator[_Key]:
        return iter(sorted(self._entries, key=str))
