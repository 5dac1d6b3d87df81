"""Registry of mutations: patches that each disable one mechanism."""

from collections.abc import Callable
from contextlib import AbstractContextManager
from dataclasses import dataclass
from typing import Any, Final

from fuchsiarill.registry import Registry

Patch = AbstractContextManager[Any]


@dataclass(frozen=True, slots=True)
class Mutation:
    """Patches that disable a mechanism, and the trace that tests it."""

    trace: str
    patches: Callable[[], tuple[Patch, ...]]


MUTATIONS: Final[Registry[str, Mutation]] = Registry('mutations')


def mutation(
    name: str,
    trace: str,
) -> Callable[
    [Callable[[], tuple[Patch, ...]]],
    Callable[[], tuple[Patch, ...]],
]:
    """Register the function that creates the patches of a mutation."""

    def decorator(
        patches: Callable[[], tuple[Patch, ...]],
    ) -> Callable[[], tuple[Patch, ...]]:
        MUTATIONS.register(name)(Mutation(trace, patches))
        return patches

    return decorator
