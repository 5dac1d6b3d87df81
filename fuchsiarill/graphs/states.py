"""States and events of the charts of the graph scheduler."""

from enum import Enum


class RunState(Enum):
    """States of the run chart: one run of a task on one worker."""

    STARTING = 'starting'
    RUNNING = 'running'
    # The start order got no answer, so the run may have started; a stop order
    # ends the run or prevents a late start.
    UNCERTAIN = 'uncertain'
    STOPPING = 'stopping'
    # The run does not run any more, but the report that shows this lacks some
    # ends. The run keeps its room and its unit until its end is listed.
    END_UNSEEN = 'end_unseen'
    ENDED = 'ended'


class RunEvent(Enum):
    """Events of the run chart."""

    CONFIRMED = 'confirmed'
    REFUSED = 'refused'
    UNANSWERED = 'unanswered'
    # A report lists the run as running.
    LISTED = 'listed'
    # A report requested after the latest answer to a start or stop order does
    # not list the run.
    ABSENT = 'absent'
    # As `ABSENT`, by a report that lacks some ends.
    NOT_RUNNING = 'not_running'
    STOP_ASKED = 'stop_asked'
    END_REPORTED = 'end_reported'
    WORKER_LOST = 'worker_lost'


class LossCause(Enum):
    """Why the owner takes the runs of a worker as ended without a report."""

    LEASE_EXPIRED = 'lease_expired'
    # A later incarnation has reported.
    RESTARTED = 'restarted'
    # Another worker answers at its address.
    REPLACED = 'replaced'


class LeaseBound(Enum):
    """What bounds the task lease of a run, if its worker stays silent."""

    # The last call that the incarnation which has started the run got.
    CALLS = 'calls'
    # The starts with tickets that it may have executed late.
    TICKETS = 'tickets'
    # All calls that a later incarnation may have executed late.
    LATE_CALLS = 'late_calls'


class RestartSource(Enum):
    """What has told the owner first of an incarnation that has reported."""

    REPORT = 'report'
    DIRECTORY = 'directory'


class AvailabilityState(Enum):
    """Whether the owner of a pool may start runs on a worker."""

    # No starts before the next complete report: the worker may still accept
    # orders of the previous owner (it is not fenced yet), a call to it has
    # failed, or its last report lacked some ends. The end of a run that started
    # now would be listed after those.
    UNCONFIRMED = 'unconfirmed'
    READY = 'ready'
    LEAVING = 'leaving'
    # Not listed, and all its task leases have expired.
    GONE = 'gone'


class AvailabilityEvent(Enum):
    """Events of the worker availability chart."""

    REPORTED = 'reported'
    # The report lacks some ends.
    REPORTED_IN_PART = 'reported_in_part'
    WENT_SILENT = 'went_silent'
    LISTED_LIVE = 'listed_live'
    LISTED_LEAVING = 'listed_leaving'
    # The task leases of an unlisted worker have expired.
    LAPSED = 'lapsed'


class ContactState(Enum):
    """States of the worker contact chart: a channel and an incarnation."""

    # The incarnation has not answered a renewal with the present token, so
    # that calls with an earlier one may still be executed.
    UNFENCED = 'unfenced'
    CONFIRMED = 'confirmed'
    # Fenced, but the last renewal got no report.
    SILENT = 'silent'


class ContactEvent(Enum):
    """Events of the worker contact chart."""

    ANSWERED = 'answered'
    CALL_FAILED = 'call_failed'
    # Another incarnation than the one that was called may have answered, or is
    # in the directory.
    OTHER_INCARNATION = 'other_incarnation'


class TenureState(Enum):
    """States of the tenure chart: ownership of a pool by a process."""

    FOLLOWING = 'following'
    CAMPAIGNING = 'campaigning'
    LOADING = 'loading'
    OWNING = 'owning'
    # The ownership lease was not renewed in time: no orders are sent.
    SUSPENDED = 'suspended'
    RELEASED = 'released'


class TenureEvent(Enum):
    """Events of the tenure chart."""

    VACANCY_SEEN = 'vacancy_seen'
    ELECTED = 'elected'
    NOT_ELECTED = 'not_elected'
    LOADED = 'loaded'
    LEASE_OVERDUE = 'lease_overdue'
    LEASE_RENEWED = 'lease_renewed'
    OWNERSHIP_LOST = 'ownership_lost'
    DRAIN_ASKED = 'drain_asked'
    LARGER_MACHINE_FOUND = 'larger_machine_found'


class JobPhase(Enum):
    """Durable state of a job graph."""

    ACTIVE = 'active'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class JobPhaseEvent(Enum):
    """Events of the job phase chart."""

    ALL_SUCCEEDED = 'all_succeeded'
    ATTEMPTS_USED_UP = 'attempts_used_up'
    # A task has crashed the workers that started it.
    WORKERS_CRASHED = 'workers_crashed'
    CANCEL_SEEN = 'cancel_seen'


class CrashVerdict(Enum):
    """Why a task under which workers have crashed is given up."""

    # In a crash that ended its trial, nothing else can be the cause.
    ONLY_SUSPECT = 'only suspect of a crash in its trial'
    # Other tasks may be the cause, but a further start could cost a worker.
    REPEATED_EARLY = 'third crash or later, early in its trial'
    # Workers end in its trials without an answer to the start.
    UNCONFIRMED_LOSSES = 'losses before an answer to the start, in trials'
