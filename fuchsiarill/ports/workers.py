"""Interface to the workers.

An exchange is one request to a worker and the report that it returns.
"""

from enum import Enum
from typing import Protocol

from returns.result import Result

from fuchsiarill.workers import Exchange, WorkerReport


class ExchangeFailure(Enum):
    """Why an exchange returned no report.

    After `NOT_SENT` nothing of the exchange reached the worker; after
    `NO_ANSWER` any part of it may have taken effect.
    """

    NOT_SENT = 'not_sent'
    NO_ANSWER = 'no_answer'


class WorkerPort(Protocol):
    """The call that an owner makes to a worker."""

    async def exchange(
        self,
        address: str,
        request: Exchange,
    ) -> Result[WorkerReport, ExchangeFailure]:
        """Send commands and renewals; returns the worker's report."""
