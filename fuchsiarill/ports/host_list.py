"""Interface to the platform's host list, which may be out of date."""

from typing import Protocol

from returns.result import Result

from fuchsiarill.ports.store import StoreFailure
from fuchsiarill.workers import HostEntry


class HostListPort(Protocol):
    """The only call that the system makes to the host list."""

    async def fetch(self) -> Result[tuple[HostEntry, ...], StoreFailure]:
        """Return all listed hosts of the cell."""
