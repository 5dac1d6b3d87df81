"""States and events of the charts, except those of `graphs` and `replay`.

The values equal the names used in `charts/*.yaml`.
"""

from enum import Enum


class JobState(Enum):
    """States of a job, from acceptance to its final outcome."""

    ACCEPTING = 'accepting'
    QUEUED = 'queued'
    RUNNING = 'running'
    CANCELLING = 'cancelling'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    UNKNOWN = 'unknown'


class JobEvent(Enum):
    """Events that change the state of a job."""

    COMMITTED = 'committed'
    TASK_STARTED = 'task_started'
    REQUEUED = 'requeued'
    ALL_SUCCEEDED = 'all_succeeded'
    GAVE_UP = 'gave_up'
    OUTCOME_LOST = 'outcome_lost'
    CANCEL_ASKED = 'cancel_asked'
    ALL_STOPPED = 'all_stopped'


class AttemptState(Enum):
    """States of one attempt to run a task on one worker."""

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
    """Events that change the state of an attempt."""

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
    """State of a worker as the owner of a partition sees it."""

    UNSEEN = 'unseen'
    READY = 'ready'
    PROBATION = 'probation'
    LEAVING = 'leaving'
    UNREACHABLE = 'unreachable'
    GONE = 'gone'


class WorkerEvent(Enum):
    """Events that change the state of a worker."""

    REPORTED = 'reported'
    WENT_SILENT = 'went_silent'
    LISTED_LEAVING = 'listed_leaving'
    LISTED_LIVE = 'listed_live'
    UNLISTED = 'unlisted'
    FAILING = 'failing'
    PROVED_GOOD = 'proved_good'
    # A job that fails everywhere caused the failures.
    FAILURES_WITHDRAWN = 'failures_withdrawn'


class PartitionState(Enum):
    """Role of a process in the ownership of a partition."""

    STANDBY = 'standby'
    ACQUIRING = 'acquiring'
    REPLAYING = 'replaying'
    OWNING = 'owning'
    RENEWALS_ONLY = 'renewals_only'
    HANDING_OVER = 'handing_over'


class PartitionEvent(Enum):
    """Events that change the role of a process for a partition."""

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
    """States of a daemon process."""

    STARTING = 'starting'
    SERVING = 'serving'
    DRAINING = 'draining'
    STOPPED = 'stopped'


class ProcessEvent(Enum):
    """Events that change the state of a daemon process."""

    CONFIGURED = 'configured'
    DRAIN_ASKED = 'drain_asked'
    DRAINED = 'drained'


class ConnectionState(Enum):
    """States of one outgoing connection."""

    CLOSED = 'closed'
    CONNECTING = 'connecting'
    OPEN = 'open'


class ConnectionEvent(Enum):
    """Events that change the state of a connection."""

    DIALLED = 'dialled'
    CONNECTED = 'connected'
    FAILED = 'failed'
    DEADLINE_MISSED = 'deadline_missed'
    CLOSED = 'closed'


class ConfigurationState(Enum):
    """Whether a process has a cell configuration in force."""

    NONE = 'none'
    IN_FORCE = 'in_force'


class ConfigurationEvent(Enum):
    """Offers of a cell configuration to a process."""

    NEWER_OFFERED = 'newer_offered'
    OLDER_OFFERED = 'older_offered'


class MemberState(Enum):
    """State of another process as the membership view shows it."""

    LIVE = 'live'
    SUSPECTED = 'suspected'
    REMOVED = 'removed'


class MemberEvent(Enum):
    """Events that change the state of a member."""

    HEARD = 'heard'
    SILENT = 'silent'
