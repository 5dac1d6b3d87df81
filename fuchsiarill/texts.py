"""Texts that callers and operators read.

They are `str.format` templates; the code that refuses a request fills in the
fields and holds no sentence itself.
"""

from typing import Final

UNKNOWN_CUSTOMER: Final = 'customer {customer!r} has no contract'
KEY_CONFLICT: Final = (
    'idempotency key {key!r} belongs to job {job} with a different body'
)
TASK_NEVER_FITS: Final = (
    'no worker of partition {partition} offers {field}={wanted}; '
    'the largest offers {largest}'
)
GANG_NEVER_FITS: Final = (
    'a gang of {wanted} tasks does not fit: all workers of partition '
    '{partition} together have room for {largest}'
)
QUOTA_NEVER_FITS: Final = (
    'the job needs {field}={wanted} at once; '
    "the part of its contract's quota that applies to one partition is "
    '{largest}'
)
RATE_EXCEEDED: Final = (
    'customer {customer!r} may submit {rate} jobs a second, burst {burst}'
)
QUEUE_FULL: Final = 'customer {customer!r} has {queued} jobs waiting already'
OWNER_UNAVAILABLE: Final = 'partition {partition} has no reachable owner'
STORE_UNAVAILABLE: Final = 'the store does not answer; the job is not accepted'
OVERLOADED: Final = 'the process has too many requests in progress'
NOT_CONFIGURED: Final = 'the process has no cell configuration yet'
DRAINING: Final = 'the process is shutting down'
OUTCOME_UNCERTAIN: Final = (
    'partition {partition} did not answer in time; repeat with the same key'
)
UNKNOWN_JOB: Final = 'job {job!r} is not known for this customer'
UNKNOWN_ROUTE: Final = 'no route {method} {path}'
MALFORMED: Final = '{problem}'
TOO_LARGE: Final = 'the body has {size_bytes} bytes; {limit_bytes} are allowed'
UNAUTHENTICATED: Final = 'a known bearer token is needed'
FORBIDDEN: Final = 'the token does not permit this request'
NO_SERVER: Final = 'no entry process answers: {faults}'
INTERRUPTED: Final = 'interrupted'
CONFIG_VALID: Final = '{path}: valid, {contracts} contracts'
CONFIG_SAME: Final = 'no difference to generation {generation}'
CONFIG_APPLIED: Final = 'generation {generation} is written'
CONFIG_RACE: Final = (
    'the configuration changed while this change was prepared: generation '
    '{expected} was read, {author} wrote {present}; their change:'
)
SPREAD_COMPLETE: Final = (
    'generation {generation} is in force in {count} processes'
)
SPREAD_INCOMPLETE: Final = (
    'generation {generation} is not yet in force in: {processes}'
)
UNKNOWN_FIELD: Final = 'a contract has no field {name!r}'
ASSIGNMENT_EXPECTED: Final = 'expected FIELD=VALUE, got {text!r}'
HOST_DRAINS: Final = (
    'worker {worker} gets no new tasks from generation {generation}'
)
HOST_RETURNS: Final = (
    'worker {worker} gets tasks again from generation {generation}'
)
HOST_UNCHANGED: Final = 'worker {worker} is in that state already'
TOO_DEEP: Final = 'more than {limit} levels are nested'
REPEATED_KEY: Final = 'the key occurs twice'
DUPLICATE_NAME: Final = '{name!r} occurs twice, first at line {line}'
SAME_TOKEN: Final = 'the same token is used by {other}'
UNKNOWN_REGION: Final = 'region {region!r} is not in the list of regions'
GUARANTEED_ABOVE_QUOTA: Final = (
    'guaranteed {guaranteed} is more than the quota of {quota}'
)
QUOTA_WITHOUT_SLOTS: Final = (
    'the quota holds no slots, so no task could ever run'
)
GUARANTEES_ABOVE_CAPACITY: Final = (
    'the guarantees of all contracts sum up to {total}; '
    'the region has {capacity}'
)
UNKNOWN_POLICY: Final = 'unknown policy {name!r}; known policies: {known}'
LEASE_TOO_SHORT: Final = (
    'a lease of {lease_ms} ms is less than three exchange intervals '
    'of {exchange_ms} ms'
)
PARTITIONS_CHANGED: Final = (
    'the number of partitions was {before}; it cannot change, '
    'since jobs and journals belong to a partition'
)
REGION_REMOVED: Final = (
    'region {region!r} is missing; the jobs of its partitions would be lost'
)
CONFIG_CONFLICT: Final = (
    'generation {generation} by {author!r} is in force, '
    'not the expected generation {expected}'
)
CHANGE_UNCERTAIN: Final = (
    'the store did not answer; read the configuration to see whether the '
    'change was written'
)
STORE_SILENT: Final = 'the store does not answer; nothing was changed'
NO_RESULT: Final = 'a result is neither success nor failure'
ALIAS: Final = 'aliases are not allowed'
CUSTOMER_NEEDED: Final = 'a request of an operator must name a customer'
NOT_A_COUNT: Final = 'a number of at most nine digits is needed'
UNKNOWN_PARAMETER: Final = 'the route has no such parameter'
REPEATED_PARAMETER: Final = 'a parameter occurs twice'
UNKNOWN_STATE: Final = 'there is no such job state'
NO_ANSWER: Final = 'the process did not answer in time'
INTERNAL_FAULT: Final = 'the request failed because of an internal error'
HOST_LIST_SILENT: Final = 'the host list does not answer'
UNKNOWN_PROCESS: Final = 'process {process!r} is not in the view'
PROCESS_UNREACHABLE: Final = 'process {process!r} does not answer'
SERVICE_RUN_TIME: Final = (
    'a service has no run time: it runs until it is cancelled'
)
SERVICE_AT_MOST_ONCE: Final = (
    'a service cannot be at_most_once: it is started again when it ends'
)
REPEATED_JOB_KEY: Final = 'the key occurs twice, first at {first}'
JOB_USED_UP_ATTEMPTS: Final = (
    'The job failed: {failed} runs ended as failed, and a task has no attempt '
    'left.'
)
JOB_CRASHED_WORKERS: Final = (
    'The job failed: task {task} was given up, since workers crashed in '
    '{crashes} of its attempts.'
)
JOB_SETTLED: Final = (
    'The job is {phase} after {age_ms} ms, objective {objective_ms} ms; its '
    'first run started after {wait_ms} ms; runs lost with their worker: '
    '{lost}, failed: {failed}, stopped: {stopped}.'
)
JOB_REFUSED: Final = (
    'The request to {verb} the job was refused with {code} after {took_ms} '
    'ms: {reason}.'
)
JOB_REFUSED_AT_ONCE: Final = (
    'The request to submit the job was refused with {code} because of {cause}: '
    'it would have waited {least_wait_ms} ms at least, {allowed_wait_ms} ms '
    'were allowed.'
)
JOB_UNSEEN: Final = (
    'No log line accepts or refuses the job: no process has decided about it.'
)
JOB_NOT_PLACED: Final = (
    'The job is accepted and no run was placed: look for log events of the '
    'owner of its pool (731 to 738) and of the advice service (719).'
)
JOB_UNFINISHED: Final = (
    'The job is not settled: {placed} runs were placed and {ended} have ended.'
)
START_HELD: Final = (
    'Task {task} has a start without an answer on {worker}; at {time} it was '
    'held for another {held_ms} ms, unless the worker reports.'
)
LINES_UNREADABLE: Final = '{} log lines that name the job cannot be read.'
