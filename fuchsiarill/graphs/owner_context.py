"""Data and services that the owner of a pool uses."""

from dataclasses import dataclass

from fuchsiarill.actor import Mailbox
from fuchsiarill.graphs import records
from fuchsiarill.graphs.lease_guard import LeaseGuard
from fuchsiarill.graphs.metrics import GraphMetrics
from fuchsiarill.graphs.model import GraphConfig, PoolId
from fuchsiarill.graphs.ports import GraphPorts
from fuchsiarill.graphs.settings import GraphSettings
from fuchsiarill.ids import Epoch


@dataclass(frozen=True, slots=True)
class Term:
    """One term of a process as the owner of a pool.

    A term lasts from an election until the ownership is lost or handed over.
    """

    pool: PoolId
    epoch: Epoch
    guard: LeaseGuard
    config: GraphConfig
    owner: records.OwnerRecord


@dataclass(frozen=True, slots=True)
class OwnerContext:
    """Parts of the process that a pool owner uses.

    `tenure` belongs to this pool; all other parts are shared by all owners.
    """

    settings: GraphSettings
    ports: GraphPorts
    advisor: Mailbox
    tenure: Mailbox
    metrics: GraphMetrics
