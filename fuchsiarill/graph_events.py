"""Numbered log events of job graphs; `events.emit` writes them.

70x requests, 71x runs, 72x workers, 73x ownership of pools, 74x outside
systems, 75x incarnations of workers, 76x customers and load.
"""

from typing import Final

from fuchsiarill.log_event import NO_ACTION, Level, LogEvent

GRAPH_ACCEPTED: Final = LogEvent(
    701,
    Level.INFO,
    'job {job} of queue {queue} is accepted at revision {revision} after '
    '{took_ms} ms, {attempts} calls',
    NO_ACTION,
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
    NO_ACTION,
)
GRAPH_SETTLED: Final = LogEvent(
    704,
    Level.INFO,
    'job {job} of queue {queue} is {phase} after {age_ms} ms, objective '
    '{objective_ms} ms',
    NO_ACTION,
)
STEP_BLOCKED: Final = LogEvent(
    705,
    Level.WARNING,
    'step {step} of job {job} has waited {waited_ms} ms for a worker: of '
    '{listed} listed {ready} are ready, {suspended} of these are suspended, '
    '{denied} denied, {with_room} have room, {unreserved} have room that is '
    'not reserved, {ticketed} have a ticket; advice is pending for '
    '{advice_pending_ms} ms; it waits for the ceiling of its customer for '
    '{ceiling_ms} ms',
    'See "Late" in OPERATIONS.md.',
)
RUN_PLACED: Final = LogEvent(
    711,
    Level.INFO,
    'attempt {attempt} of task {task} of job {job} goes to {worker} after '
    '{waited_ms} ms, {free_milli}/1000 processors stay free, epoch '
    '{epoch}',
    NO_ACTION,
)
RUN_ENDED: Final = LogEvent(
    712,
    Level.INFO,
    'attempt {attempt} of task {task} of job {job} on {worker} ended as '
    '{kind} after {ran_ms} ms, epoch {epoch}',
    NO_ACTION,
)
RUN_LOST: Final = LogEvent(
    713,
    Level.WARNING,
    'attempt {attempt} of task {task} of job {job} is lost with {worker}: '
    '{cause}; last report {report_age_ms} ms and first failed call '
    '{silence_ms} ms ago, leases end in {lease_left_ms} ms; listed by '
    'incarnation {born_ms}: {is_listed}',
    'None; the task starts again.',
)
RUN_FOUND: Final = LogEvent(
    714,
    Level.INFO,
    '{worker} runs attempt {attempt} of task {task} of job {job} that '
    'this owner did not start; kept: {is_kept}',
    NO_ACTION,
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
    NO_ACTION,
)
RUN_PREEMPTED: Final = LogEvent(
    718,
    Level.INFO,
    'attempt {attempt} of task {task} of job {job} on {worker} is stopped for '
    'job {for_job} of priority {priority}',
    NO_ACTION,
)
STEP_ADVISED: Final = LogEvent(
    719,
    Level.INFO,
    'the advice service grants step {step} of job {job} {granted} of {asked} '
    'requested workers; {named} were named {waited_ms} ms ago, the others have '
    'ended',
    NO_ACTION,
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
CRASH_COUNTED: Final = LogEvent(
    720,
    Level.WARNING,
    'the crash of worker {worker} counts against task {task} of job {job}, '
    'attempt {attempt}: at most {ran_ms} ms after its start; start confirmed: '
    '{is_confirmed}, on trial: {is_on_trial}, suspect: {is_suspect}; crashes '
    'counted: {crashes}',
    'See "Shown as failed" in OPERATIONS.md if this recurs.',
)
WORKER_CRASHED: Final = LogEvent(
    723,
    Level.WARNING,
    'worker {worker} has ended without notice under {runs} runs, {confirmed} '
    'of which it is known to have started; {suspected} units may be the cause; '
    'power loss of the rack: {is_power_loss}',
    'See "Shown as failed" in OPERATIONS.md if this recurs.',
)
TASK_SUSPECTED: Final = LogEvent(
    724,
    Level.WARNING,
    'task {task} of job {job} is a suspect: workers have crashed in {crashes} '
    'of its attempts',
    'None; its next run is on trial.',
)
TASK_CLEARED: Final = LogEvent(
    725,
    Level.INFO,
    'task {task} of job {job} has passed its trial and is no suspect',
    NO_ACTION,
)
TASK_GIVEN_UP: Final = LogEvent(
    726,
    Level.ERROR,
    'task {task} of job {job} is given up, and the job fails: workers have '
    'crashed in {crashes} of its attempts, last {worker} in attempt {attempt}; '
    'evidence: {verdict}',
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
    NO_ACTION,
)
RUN_ABSENT: Final = LogEvent(
    729,
    Level.INFO,
    'attempt {attempt} of task {task} of job {job} is not in a report of '
    '{worker} requested at {requested_ms} ms of the process clock; one '
    'requested after {visible_since_ms} ms would list it while it runs; ends '
    'complete: {is_complete}',
    NO_ACTION,
)
TENURE_WON: Final = LogEvent(
    731,
    Level.INFO,
    'pool {pool} is owned with epoch {epoch} after {campaign_ms} ms',
    NO_ACTION,
)
POOL_LOADED: Final = LogEvent(
    732,
    Level.INFO,
    'pool {pool} is loaded in epoch {epoch}: {jobs} job keys, '
    '{workers} workers to query, term {term}',
    NO_ACTION,
)
INHERITANCE_SETTLED: Final = LogEvent(
    733,
    Level.INFO,
    'every worker of the previous owner of pool {pool} has reported, or its '
    'leases have expired, epoch {epoch}',
    NO_ACTION,
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
    NO_ACTION,
)
WRITE_FENCED: Final = LogEvent(
    738,
    Level.WARNING,
    'a write is refused: key {key} has revision {found} instead of {expected}',
    'None; another process owns the pool.',
)
POOL_HANDED_OVER: Final = LogEvent(
    739,
    Level.INFO,
    'pool {pool} is handed over, since {process} runs on a larger machine',
    NO_ACTION,
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
    NO_ACTION,
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
    NO_ACTION,
)
STORE_RELAYED: Final = LogEvent(
    747,
    Level.WARNING,
    'the store is called through other processes: {failure}',
    'Check the links between this process and the store.',
)
ANSWER_UNREADABLE: Final = LogEvent(
    748,
    Level.ERROR,
    'an answer of {source} cannot be read: {problem}',
    'Check its version; the outcome of the call counts as unknown.',
)
ADVICE_OVERDUE: Final = LogEvent(
    749,
    Level.WARNING,
    'a call for advice for job {job} through {route} has no answer after '
    '{waited_ms} ms; it is made again through another process',
    'Check the process, and its link to the advice service.',
)
WORKER_RESTARTED: Final = LogEvent(
    751,
    Level.WARNING,
    'worker {worker} has restarted: incarnation {born_ms} follows '
    '{previous_born_ms}, learned from {source}; last report {report_age_ms} '
    'ms ago, {listed} runs listed, {unlisted} unlisted',
    'None; the listed runs start again, the others are stopped first.',
)
ORDER_MISDIRECTED: Final = LogEvent(
    752,
    Level.WARNING,
    'a later incarnation of {worker} answers a call that was sent to the one '
    'before: clock {clock_ms} ms is below {earliest_clock_ms} ms',
    'None; the worker gets no starts until it has answered with a new token.',
)
INCARNATION_FENCED: Final = LogEvent(
    753,
    Level.INFO,
    'incarnation {born_ms} of {worker} has answered a renewal with token '
    '{epoch}.{sequence}, after incarnation {previous_born_ms}: {running} runs '
    'and {ended} ends listed; earlier calls have no effect any more',
    NO_ACTION,
)
START_UNANSWERED: Final = LogEvent(
    754,
    Level.INFO,
    'attempt {attempt} of task {task} of job {job}: the start order to '
    '{worker} has got no answer after {ordered_ms} ms, and may be executed for '
    'another {executable_ms} ms; with a ticket: {has_ticket}; unless the '
    'worker reports, the task starts elsewhere in {held_ms} ms at the '
    'earliest, bound: {bound}',
    'None; the task starts elsewhere once the order has no effect any more.',
)
INCARNATION_LISTED: Final = LogEvent(
    755,
    Level.INFO,
    'the directory lists incarnation {born_ms} of {worker}, which is not '
    '{present_born_ms}, the one that has reported: either may have ended',
    'None; the worker gets no starts until it has answered with a new token.',
)
ADVICE_QUEUED: Final = LogEvent(
    756,
    Level.WARNING,
    '{queued} requests for advice wait for a call, that for step {step} of '
    'job {job} the longest, {waited_ms} ms with rank {rank_ms}; of {routes} '
    'routes, {calls} have a call of this process and {others} one of another',
    'See "Late" in OPERATIONS.md if this recurs.',
)
START_EXPIRED: Final = LogEvent(
    757,
    Level.INFO,
    'attempt {attempt} of task {task} of job {job}: the start order to '
    '{worker}, which has got no answer, cannot be executed any more; a run '
    'that it has started may hold its lease for another {held_ms} ms, bound: '
    '{bound}, last report {report_age_ms} ms ago',
    'None; the task starts elsewhere after that, or once the worker reports.',
)
INHERITED_START_UNANSWERED: Final = LogEvent(
    758,
    Level.INFO,
    'unit {unit} of job {job} has a start order of the previous owner without '
    'an answer, to {workers}; unless the workers report, it starts again in '
    '{held_ms} ms at the earliest',
    'None; the unit starts once the order has no effect any more.',
)
CUSTOMER_AT_CEILING: Final = LogEvent(
    761,
    Level.INFO,
    'customer {customer} waits for its ceiling in pool {pool} for {waited_ms} '
    'ms: step {step} of job {job} needs {charge}; of the ceiling {ceiling}, '
    '{used} is in use here, {claimed} claimed here and {others} by other pools',
    'None; raise the ceiling of the customer if this should not happen.',
)
SUBMISSION_REFUSED: Final = LogEvent(
    762,
    Level.WARNING,
    'job {job} of queue {queue} and customer {customer} is refused with {code} '
    'because of {cause}: it would wait {least_wait_ms} ms at least, '
    '{allowed_wait_ms} ms are allowed, by the load of {age_ms} ms ago at '
    'revision {revision}; to return after {retry_after_ms} ms',
    'See "Refused because of load" in OPERATIONS.md.',
)
RUN_TIMES_UNUSABLE: Final = LogEvent(
    785,
    Level.WARNING,
    'the learned run times of pool {pool} cannot be used: {problem}',
    'None; run times are learned anew, and estimates hold until then.',
)
