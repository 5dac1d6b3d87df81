"""States and events of the charts of the graph scheduler."""

from enum import Enum


class RunState(Enum):
    """Life of one run of a task on one worker."""

    STARTING = 'starting'
    RUNNING = 'running'
    # The start got no answer; a stop rules the run out.
    UNCERTAIN = 'uncertain'
    STOPPING = 'stopping'
    ENDED = 'ended'


class RunEvent(Enum):
    """What can happen to a run."""

    CONFIRMED = 'confirmed'
    REFUSED = 'refused'
    UNANSWERED = 'unanswered'
    LISTED = 'listed'
    # A report asked for after the last answer does not list the run.
    ABSENT = 'absent'
    STOP_ASKED = 'stop_asked'
    END_REPORTED = 'end_reported'
    WORKER_LOST = 'worker_lost'


class AvailabilityState(Enum):
    """How an owner regards a worker."""

    # Not fenced yet, or its last answer is missing: no starts.
    UNCONFIRMED = 'unconfirmed'
    READY = 'ready'
    LEAVING = 'leaving'
    # Neither listed nor answering, and all its task leases have lapsed.
    GONE = 'gone'


class AvailabilityEvent(Enum):
    """What can happen to a worker."""

    REPORTED = 'reported'
    WENT_SILENT = 'went_silent'
    LISTED_LIVE = 'listed_live'
    LISTED_LEAVING = 'listed_leaving'
    LAPSED = 'lapsed'


class TenureState(Enum):
    """Relation of a process to the ownership of a pool."""

    FOLLOWING = 'following'
    CAMPAIGNING = 'campaigning'
    LOADING = 'loading'
    OWNING = 'owning'
    # The lease could not be renewed in time: nothing is ordered.
    SUSPENDED = 'suspended'
    RELEASED = 'released'


class TenureEvent(Enum):
    """What can happen to the ownership of a pool."""

    VACANCY_SEEN = 'vacancy_seen'
    ELECTED = 'elected'
    NOT_ELECTED = 'not_elected'
    LOADED = 'loaded'
    LEASE_OVERDUE = 'lease_overdue'
    LEASE_RENEWED = 'lease_renewed'
    OWNERSHIP_LOST = 'ownership_lost'
    DRAIN_ASKED = 'drain_asked'


class JobPhase(Enum):
    """Durable state of a job graph."""

    ACTIVE = 'active'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class JobPhaseEvent(Enum):
    """What can happen to a job graph."""

    ALL_SUCCEEDED = 'all_succeeded'
    ATTEMPTS_USED_UP = 'attempts_used_up'
    CANCEL_SEEN = 'cancel_seen'
