"""The calls that actors make to other processes, without their encoding."""

from enum import Enum
from typing import Protocol

from returns.result import Result

from fuchsiarill.cluster.config_document import ConfigDocument
from fuchsiarill.cluster.member_table import Gossip
from fuchsiarill.ids import Generation


class PeerFailure(Enum):
    """Why a call gave no answer; `NOT_SENT` proves it had no effect."""

    NOT_SENT = 'not_sent'
    NO_ANSWER = 'no_answer'


class PeerPort(Protocol):
    """Calls to a process at an address `host:port`; all are safe to repeat."""

    async def gossip(
        self,
        address: str,
        message: Gossip,
    ) -> Result[Gossip, PeerFailure]:
        """Exchange member tables."""

    async def offer_config(
        self,
        address: str,
        document: ConfigDocument,
    ) -> Result[Generation, PeerFailure]:
        """Offer a document; returns the generation in force at the peer."""

    async def fetch_config(
        self,
        address: str,
    ) -> Result[ConfigDocument, PeerFailure]:
        """Return the document in force at the peer, or `NO_DOCUMENT`."""

    async def dump(self, address: str) -> Result[str, PeerFailure]:
        """Return the state of all actors of the peer, as JSON."""
