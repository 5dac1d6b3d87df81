"""States and events of every state chart.

The values equal the names used in `charts/*.yaml`.
"""

from enum import Enum


class JobState(Enum):
    """Life of a job, from acceptance to its final outcome."""

    ACCEPTING = 'accepting'
    QUEUED = 'queued'
    RUNNING = 'running'
    CANCELLING = 'cancelling'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    UNKNOWN = 'unknown'


class JobEvent(Enum):
    """What can happen to a job."""

    COMMITTED = 'committed'
    TASK_STARTED = 'task_started'
    REQUEUED = 'requeued'
    ALL_SUCCEEDED = 'all_succeeded'
    GAVE_UP = 'gave_up'
    OUTCOME_LOST = 'outcome_lost'
    CANCEL_ASKED = 'cancel_asked'
    ALL_STOPPED = 'all_stopped'


class AttemptState(Enum):
    """Life of one attempt to run a task on one worker."""

    PLACED = 'placed'
    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'
    POSSIBLY_RUNNING = 'possibly_running'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    NOT_RUN = 'not_run'
    STOPPED = 'stopped'
    LOST = 'lost'


class AttemptEvent(Enum):
    """What can happen to an attempt."""

    SENT = 'sent'
    CONFIRMED = 'confirmed'
    REFUSED = 'refused'
    WITHDRAWN = 'withdrawn'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    STOP_ASKED = 'stop_asked'
    STOPPED = 'stopped'
    CONTACT_LOST = 'contact_lost'
    LEASE_LAPSED = 'lease_lapsed'


class WorkerState(Enum):
    """How the owner of a partition regards a worker."""

    UNSEEN = 'unseen'
    READY = 'ready'
    PROBATION = 'probation'
    LEAVING = 'leaving'
    UNREACHABLE = 'unreachable'
    GONE = 'gone'


class WorkerEvent(Enum):
    """What can happen to a worker."""

    REPORTED = 'reported'
    WENT_SILENT = 'went_silent'
    LISTED_LEAVING = 'listed_leaving'
    LISTED_LIVE = 'listed_live'
    UNLISTED = 'unlisted'
    FAILING = 'failing'
    PROVED_GOOD = 'proved_good'


class PartitionState(Enum):
    """What a process is to a partition."""

    STANDBY = 'standby'
    ACQUIRING = 'acquiring'
    REPLAYING = 'replaying'
    OWNING = 'owning'
    RENEWALS_ONLY = 'renewals_only'
    HANDING_OVER = 'handing_over'


class PartitionEvent(Enum):
    """What can happen to the ownership of a partition."""

    VACANT = 'vacant'
    ACQUIRED = 'acquired'
    NOT_ACQUIRED = 'not_acquired'
    REPLAYED = 'replayed'
    RENEWED = 'renewed'
    DEADLINE_PASSED = 'deadline_passed'
    DEPOSED = 'deposed'
    HANDOVER_ASKED = 'handover_asked'
    RELEASED = 'released'


class ProcessState(Enum):
    """Life of a daemon process."""

    STARTING = 'starting'
    SERVING = 'serving'
    DRAINING = 'draining'
    STOPPED = 'stopped'


class ProcessEvent(Enum):
    """What can happen to a daemon process."""

    CONFIGURED = 'configured'
    DRAIN_ASKED = 'drain_asked'
    DRAINED = 'drained'


class ConnectionState(Enum):
    """Life of one outgoing connection."""

    CLOSED = 'closed'
    CONNECTING = 'connecting'
    OPEN = 'open'


class ConnectionEvent(Enum):
    """What can happen to a connection."""

    DIALLED = 'dialled'
    CONNECTED = 'connected'
    FAILED = 'failed'
    DEADLINE_MISSED = 'deadline_missed'
    CLOSED = 'closed'


class ConfigurationState(Enum):
    """What a process knows of the cell configuration."""

    NONE = 'none'
    IN_FORCE = 'in_force'


class ConfigurationEvent(Enum):
    """What can happen to the configuration of a process."""

    NEWER_OFFERED = 'newer_offered'
    OLDER_OFFERED = 'older_offered'


class MemberState(Enum):
    """How a process regards another process of the system."""

    LIVE = 'live'
    SUSPECTED = 'suspected'
    REMOVED = 'removed'


class MemberEvent(Enum):
    """What can happen to a member of the system."""

    HEARD = 'heard'
    SILENT = 'silent'
