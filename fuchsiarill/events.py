"""Numbered log events in one registry, from which `docs/EVENTS.md` is written.

1xx process, 2xx configuration and membership, 3xx ownership and journal,
4xx workers, 5xx jobs, 6xx requests, 7xx job graphs: 70x requests, 71x runs,
72x workers, 73x ownership of pools, 74x outside systems.
"""

from typing import Final

from loguru import logger

from fuchsiarill.log_event import EVENTS_BY_NUMBER, Level, LogEvent


def all_events() -> list[LogEvent]:
    """Return every event in the order of its number."""
    return [EVENTS_BY_NUMBER[number] for number in sorted(EVENTS_BY_NUMBER)]


def emit(event: LogEvent, **fields: object) -> None:
    """Log an event; `fields` fill its template and are bound to the line."""
    bound = logger.bind(event=event.number, **fields)
    bound.log(event.level.value, event.template.format(**fields))


_NO_ACTION: Final = 'None.'

PROCESS_STARTED: Final = LogEvent(
    101,
    Level.INFO,
    'process {process} serves in failure domain {failure_domain}',
    _NO_ACTION,
)
PROCESS_DRAINING: Final = LogEvent(
    102,
    Level.INFO,
    'process {process} is draining',
    _NO_ACTION,
)
PROCESS_STOPPED: Final = LogEvent(
    103,
    Level.INFO,
    'process {process} has stopped',
    _NO_ACTION,
)
ACTOR_FAILED: Final = LogEvent(
    104,
    Level.ERROR,
    'actor {actor} failed on {message_type}: {error}',
    'Report the line as a defect; the process goes on with the next message.',
)
ACTOR_DIED: Final = LogEvent(
    105,
    Level.ERROR,
    'actor {actor} ended unexpectedly, so the process ends: {error}',
    'Report the line as a defect; another process takes over.',
)
CALL_FAILED: Final = LogEvent(
    106,
    Level.ERROR,
    'a call of actor {actor} failed: {error}',
    'Report the line as a defect; requests that wait for the call time out.',
)
CONFIG_IN_FORCE: Final = LogEvent(
    201,
    Level.INFO,
    'configuration generation {generation} is in force',
    _NO_ACTION,
)
CONFIG_REJECTED: Final = LogEvent(
    202,
    Level.ERROR,
    'configuration generation {generation} by {author!r} is rejected: '
    '{problem}',
    'The previous generation stays in force; apply a corrected document.',
)
MEMBER_REMOVED: Final = LogEvent(
    203,
    Level.WARNING,
    'process {process} has been silent and is removed from the view',
    'Check the entry host and the links of its failure domain.',
)
OWNERSHIP_ACQUIRED: Final = LogEvent(
    301,
    Level.INFO,
    'partition {partition} is owned with epoch {epoch}',
    _NO_ACTION,
)
OWNERSHIP_LOST: Final = LogEvent(
    302,
    Level.WARNING,
    'partition {partition} is given up: {reason}',
    'Check the store and the load of the process if this recurs.',
)
JOURNAL_REFUSED: Final = LogEvent(
    303,
    Level.ERROR,
    'the journal of partition {partition} cannot be read: {fault}',
    'Run a version that supports the format, or restore the keys of the '
    'partition; they are not changed meanwhile.',
)
OWNERSHIP_UNCONFIRMED: Final = LogEvent(
    304,
    Level.WARNING,
    'the store does not confirm the ownership of partition {partition}; '
    'only urgent idempotent work is started',
    'Check the store and the network to it; running tasks go on.',
)
OWNERSHIP_CONFIRMED: Final = LogEvent(
    305,
    Level.INFO,
    'the ownership of partition {partition} is confirmed again',
    _NO_ACTION,
)
OWNER_ACTOR_DIED: Final = LogEvent(
    306,
    Level.ERROR,
    '{actor}: an actor ended unexpectedly: {error}',
    'Report the line as a defect; the partition is released and reacquired.',
)
WORKER_UNREACHABLE: Final = LogEvent(
    401,
    Level.WARNING,
    'worker {worker} does not answer',
    'Check the host; its tasks restart elsewhere when their leases lapse.',
)
REQUEST_FAILED: Final = LogEvent(
    601,
    Level.ERROR,
    'request of {path} failed: {error}',
    'Report the line as a defect; the caller received an error.',
)
GRAPH_ACCEPTED: Final = LogEvent(
    701,
    Level.INFO,
    'job {job} of queue {queue} is accepted at revision {revision} after '
    '{took_ms} ms, {attempts} calls',
    _NO_ACTION,
)
GRAPH_REFUSED: Final = LogEvent(
    702,
    Level.WARNING,
    'request {verb} of job {job} is refused with {code} after {took_ms} '
    'ms: {reason}',
    'Check the store and the links to it; the client retries by itself.',
)
GRAPH_CANCEL_ACCEPTED: Final = LogEvent(
    703,
    Level.INFO,
    'the cancellation of job {job} is durable',
    _NO_ACTION,
)
GRAPH_SETTLED: Final = LogEvent(
    704,
    Level.INFO,
    'job {job} of queue {queue} is {phase} after {age_ms} ms, objective '
    '{objective_ms} ms',
    _NO_ACTION,
)
RUN_PLACED: Final = LogEvent(
    711,
    Level.INFO,
    'attempt {attempt} of task {task} of job {job} goes to {worker} after '
    '{waited_ms} ms, {free_milli}/1000 processors stay free, epoch '
    '{epoch}',
    _NO_ACTION,
)
RUN_ENDED: Final = LogEvent(
    712,
    Level.INFO,
    'attempt {attempt} of task {task} of job {job} on {worker} ended as '
    '{kind} after {ran_ms} ms, epoch {epoch}',
    _NO_ACTION,
)
RUN_LOST: Final = LogEvent(
    713,
    Level.WARNING,
    'attempt {attempt} of task {task} of job {job} is lost with {worker}: '
    '{cause}; last report {report_age_ms} ms and first failed call '
    '{silence_ms} ms ago, leases end in {lease_left_ms} ms',
    'None; the task starts again.',
)
RUN_FOUND: Final = LogEvent(
    714,
    Level.INFO,
    '{worker} runs attempt {attempt} of task {task} of job {job} that '
    'this owner did not start; kept: {is_kept}',
    _NO_ACTION,
)
START_REFUSED: Final = LogEvent(
    715,
    Level.WARNING,
    '{worker} refuses attempt {attempt} of task {task} of job {job}: {failure}',
    'None; the task starts elsewhere.',
)
RUN_STALLED: Final = LogEvent(
    716,
    Level.WARNING,
    'attempt {attempt} of task {task} of job {job} makes no progress '
    'at {percent}% on {worker} and is stopped',
    'Check the worker if this recurs there.',
)
FILLER_PACED: Final = LogEvent(
    717,
    Level.INFO,
    'job {job} on {worker} is paced to {percent}%: the worst tail latency on '
    'the worker is {tail_share} of its target',
    _NO_ACTION,
)
WORKER_UNCONFIRMED: Final = LogEvent(
    721,
    Level.WARNING,
    'worker {worker} does not report ({failure}) and gets no new runs; {runs} '
    'runs may be active there',
    'Check the host; its tasks restart elsewhere when their leases lapse.',
)
WORKER_SUSPENDED: Final = LogEvent(
    722,
    Level.WARNING,
    'worker {worker} failed {failures} tasks in a row and gets no work '
    'for {duration_ms} ms',
    'Check the host.',
)
WORKER_CRASHED: Final = LogEvent(
    723,
    Level.WARNING,
    'worker {worker} has ended without notice under {runs} runs, {confirmed} '
    'of which it is known to have started; {suspected} units may be the cause; '
    'power loss of the rack: {is_power_loss}',
    'See "Shown as failed" in OPERATIONS.md if this recurs.',
)
UNIT_SUSPECTED: Final = LogEvent(
    724,
    Level.WARNING,
    'task {task} of job {job} is a suspect: workers have crashed in {crashes} '
    'of its attempts',
    'None; its next run is on trial.',
)
UNIT_CLEARED: Final = LogEvent(
    725,
    Level.INFO,
    'task {task} of job {job} has passed its trial and is no suspect',
    _NO_ACTION,
)
TASK_GIVEN_UP: Final = LogEvent(
    726,
    Level.ERROR,
    'task {task} of job {job} is given up, and the job fails: workers have '
    'crashed in {crashes} of its attempts, last {worker} in attempt {attempt}',
    'Tell the owner of the job that its task crashes workers.',
)
TASKS_BLAMED: Final = LogEvent(
    727,
    Level.WARNING,
    'task {task} of job {job} is to blame for its failures on {workers} '
    'workers, up to {longest_ms} ms after the start; whole step: '
    '{is_whole_step}',
    'Tell the owner of the job that its task fails wherever it runs.',
)
SUSPENSION_ENDED: Final = LogEvent(
    728,
    Level.INFO,
    'worker {worker} may get one run at a time again: the tasks that failed '
    'there are to blame',
    _NO_ACTION,
)
RUN_ABSENT: Final = LogEvent(
    729,
    Level.INFO,
    'attempt {attempt} of task {task} of job {job} is not in a report of '
    '{worker} requested at {requested_ms} ms of the process clock; one '
    'requested after {visible_since_ms} ms would list it while it runs; ends '
    'complete: {is_complete}',
    _NO_ACTION,
)
TENURE_WON: Final = LogEvent(
    731,
    Level.INFO,
    'pool {pool} is owned with epoch {epoch} after {campaign_ms} ms',
    _NO_ACTION,
)
POOL_LOADED: Final = LogEvent(
    732,
    Level.INFO,
    'pool {pool} is loaded in epoch {epoch}: {jobs} job keys, '
    '{workers} workers to query, term {term}',
    _NO_ACTION,
)
INHERITANCE_SETTLED: Final = LogEvent(
    733,
    Level.INFO,
    'every worker of the previous owner of pool {pool} has reported, or its '
    'leases have expired, epoch {epoch}',
    _NO_ACTION,
)
TENURE_LOST: Final = LogEvent(
    734,
    Level.WARNING,
    'pool {pool} is given up, epoch {epoch}',
    'Check the store and the load of the process if this recurs.',
)
TENURE_REFUTED: Final = LogEvent(
    735,
    Level.WARNING,
    'epoch {epoch} of pool {pool} is over: {reason}',
    'None; another process owns the pool.',
)
TENURE_SUSPENDED: Final = LogEvent(
    736,
    Level.WARNING,
    'renewal of the lease of pool {pool} is overdue, no orders are sent, epoch '
    '{epoch}',
    'Check the store and the links to it.',
)
TENURE_RESUMED: Final = LogEvent(
    737,
    Level.INFO,
    'the lease of pool {pool} is renewed, orders are sent again, epoch {epoch}',
    _NO_ACTION,
)
WRITE_FENCED: Final = LogEvent(
    738,
    Level.WARNING,
    'a write is refused: key {key} has revision {found} instead of {expected}',
    'None; another process owns the pool.',
)
STORE_LOST: Final = LogEvent(
    741,
    Level.WARNING,
    'the store has not answered for {prefix} for {failing_ms} ms: {failure}',
    'Check the store and the links to it.',
)
STORE_REGAINED: Final = LogEvent(
    742,
    Level.INFO,
    'the store answers for {prefix} again after {lost_ms} ms',
    _NO_ACTION,
)
STORE_ANSWER_UNEXPECTED: Final = LogEvent(
    743,
    Level.ERROR,
    'the store answered with status {status}',
    'Report the line as a defect.',
)
DOCUMENT_UNREADABLE: Final = LogEvent(
    744,
    Level.WARNING,
    '{key} at revision {revision} cannot be used: {problem}',
    'Correct the document; until then it is ignored.',
)
SETTINGS_RELOADED: Final = LogEvent(
    745,
    Level.INFO,
    'the settings have been read again; changed: {is_changed}',
    _NO_ACTION,
)
LOG_LINES_DROPPED: Final = LogEvent(
    746,
    Level.WARNING,
    '{count} log lines were dropped because the output does not keep up',
    'Read the output faster or raise the log level.',
)
POOL_HANDED_OVER: Final = LogEvent(
    739,
    Level.INFO,
    'pool {pool} is handed over, since {process} runs on a larger machine',
    _NO_ACTION,
)
STORE_RELAYED: Final = LogEvent(
    747,
    Level.WARNING,
    'the store is called through other processes: {failure}',
    'Check the links between this process and the store.',
)
RUN_PREEMPTED: Final = LogEvent(
    718,
    Level.INFO,
    'attempt {attempt} of task {task} of job {job} on {worker} is stopped for '
    'job {for_job} of priority {priority}',
    _NO_ACTION,
)
ANSWER_UNREADABLE: Final = LogEvent(
    748,
    Level.ERROR,
    'an answer of {source} cannot be read: {problem}',
    'Check its version; the outcome of the call counts as unknown.',
)
STEP_ADVISED: Final = LogEvent(
    719,
    Level.INFO,
    'the advice service grants step {step} of job {job} {granted} of {asked} '
    'requested workers; {named} were named {waited_ms} ms ago, the others have '
    'ended',
    _NO_ACTION,
)
ADVICE_OVERDUE: Final = LogEvent(
    749,
    Level.WARNING,
    'a call for advice for job {job} through {route} has no answer after '
    '{waited_ms} ms; it is made again through another process',
    'Check the process, and its link to the advice service.',
)
STEP_BLOCKED: Final = LogEvent(
    705,
    Level.WARNING,
    'step {step} of job {job} has waited {waited_ms} ms for a worker: of '
    '{listed} listed {ready} are ready, {suspended} of these are suspended, '
    '{denied} denied, {with_room} have room, {unreserved} have room that is '
    'not reserved, {ticketed} have a ticket; advice is pending for '
    '{advice_pending_ms} ms',
    'See "Late" in OPERATIONS.md.',
)
