"""Interface to the platform's list of hosts, which lags."""

from typing import Protocol

from returns.result import Result

from fuchsiarill.ports.store import StoreFailure
from fuchsiarill.workers import HostEntry


class HostListPort(Protocol):
    """The one call that the system makes of the list."""

    async def fetch(self) -> Result[tuple[HostEntry, ...], StoreFailure]:
        """Return all listed hosts of the cell."""
