"""Numbered result codes in one registry, used by every answer of the system.

Numbers never change their meaning: 1xx is success, 2xx a fault of the
request, 3xx a limit of the contract, 4xx a temporary condition, 5xx an
outcome of a job, 6xx a fault in a configuration or a trace. `docs/ERRORS.md`
is written from this registry.
"""

from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from typing import Final

_BY_NUMBER: Final[dict[int, 'ResultCode']] = {}


class Retry(Enum):
    """When a caller may repeat the same request with the same key."""

    NEVER = 'never'
    AT_ONCE = 'at once'
    AFTER_DELAY = 'after the delay in retry_after_ms'


class ExitStatus(Enum):
    """Exit status of the command line."""

    SUCCESS = 0
    UNMET = 1
    BAD_REQUEST = 2
    REFUSED = 3
    UNAVAILABLE = 4
    JOB_FAILED = 5
    CONFLICT = 6


@dataclass(frozen=True, slots=True)
class ResultCode:
    """One numbered outcome; creating it adds it to the registry."""

    number: int
    name: str
    http_status: HTTPStatus
    exit_status: ExitStatus
    retry: Retry
    meaning: str

    def __post_init__(self) -> None:
        """Register the code; raises `ValueError` when its number is taken."""
        if self.number in _BY_NUMBER:
            raise ValueError(f'result code {self.number} is registered twice')
        _BY_NUMBER[self.number] = self


def by_number(number: int) -> ResultCode:
    """Return the code of a number; raises `KeyError` if there is none."""
    return _BY_NUMBER[number]


def all_codes() -> list[ResultCode]:
    """Return every code in the order of its number."""
    return [_BY_NUMBER[number] for number in sorted(_BY_NUMBER)]


ACCEPTED: Final = ResultCode(
    101,
    'accepted',
    HTTPStatus.ACCEPTED,
    ExitStatus.SUCCESS,
    Retry.AT_ONCE,
    'The job is durable and will run; the same key returns the same job.',
)
ACCEPTED_VOLATILE: Final = ResultCode(
    102,
    'accepted_volatile',
    HTTPStatus.ACCEPTED,
    ExitStatus.SUCCESS,
    Retry.AT_ONCE,
    'The store is out of reach: the urgent idempotent job runs, but is '
    'forgotten if the owner fails before the store returns.',
)
FINISHED: Final = ResultCode(
    103,
    'finished',
    HTTPStatus.OK,
    ExitStatus.SUCCESS,
    Retry.AT_ONCE,
    'The job has its final outcome.',
)
NOT_FINISHED: Final = ResultCode(
    104,
    'not_finished',
    HTTPStatus.OK,
    ExitStatus.SUCCESS,
    Retry.AT_ONCE,
    'The job has no final outcome yet; ask again.',
)
CANCEL_STARTED: Final = ResultCode(
    105,
    'cancel_started',
    HTTPStatus.ACCEPTED,
    ExitStatus.SUCCESS,
    Retry.AT_ONCE,
    'The job will not start again; running tasks are being stopped.',
)
DONE: Final = ResultCode(
    106,
    'done',
    HTTPStatus.OK,
    ExitStatus.SUCCESS,
    Retry.AT_ONCE,
    'The request was carried out.',
)
MALFORMED: Final = ResultCode(
    201,
    'malformed',
    HTTPStatus.BAD_REQUEST,
    ExitStatus.BAD_REQUEST,
    Retry.NEVER,
    'The body is not valid, has an unknown field or a value out of range.',
)
TOO_LARGE: Final = ResultCode(
    202,
    'too_large',
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    ExitStatus.BAD_REQUEST,
    Retry.NEVER,
    'The body or one of its lists exceeds its limit.',
)
UNAUTHENTICATED: Final = ResultCode(
    203,
    'unauthenticated',
    HTTPStatus.UNAUTHORIZED,
    ExitStatus.REFUSED,
    Retry.NEVER,
    'The token is missing or not known.',
)
FORBIDDEN: Final = ResultCode(
    204,
    'forbidden',
    HTTPStatus.FORBIDDEN,
    ExitStatus.REFUSED,
    Retry.NEVER,
    'The token does not permit this request.',
)
UNKNOWN_CUSTOMER: Final = ResultCode(
    205,
    'unknown_customer',
    HTTPStatus.FORBIDDEN,
    ExitStatus.REFUSED,
    Retry.NEVER,
    'The customer has no contract in the configuration in force.',
)
UNKNOWN_JOB: Final = ResultCode(
    206,
    'unknown_job',
    HTTPStatus.NOT_FOUND,
    ExitStatus.BAD_REQUEST,
    Retry.NEVER,
    'No job with this id is known for this customer.',
)
KEY_CONFLICT: Final = ResultCode(
    207,
    'key_conflict',
    HTTPStatus.CONFLICT,
    ExitStatus.CONFLICT,
    Retry.NEVER,
    'The idempotency key was used before with a different body.',
)
NEVER_FITS: Final = ResultCode(
    208,
    'never_fits',
    HTTPStatus.UNPROCESSABLE_ENTITY,
    ExitStatus.REFUSED,
    Retry.NEVER,
    'The job can never run: it is too large for the listed workers or for the '
    'limits of the contract.',
)
UNKNOWN_ROUTE: Final = ResultCode(
    209,
    'unknown_route',
    HTTPStatus.NOT_FOUND,
    ExitStatus.BAD_REQUEST,
    Retry.NEVER,
    'The server has no such path or method.',
)
UNKNOWN_PROCESS: Final = ResultCode(
    210,
    'unknown_process',
    HTTPStatus.NOT_FOUND,
    ExitStatus.BAD_REQUEST,
    Retry.NEVER,
    'No process with this id is in the view of the process asked.',
)
ABOVE_CEILING: Final = ResultCode(
    303,
    'above_ceiling',
    HTTPStatus.TOO_MANY_REQUESTS,
    ExitStatus.REFUSED,
    Retry.NEVER,
    'A task or gang of the job needs more than the whole ceiling of the '
    'customer.',
)
RATE_EXCEEDED: Final = ResultCode(
    301,
    'rate_exceeded',
    HTTPStatus.TOO_MANY_REQUESTS,
    ExitStatus.REFUSED,
    Retry.AFTER_DELAY,
    'The request rate of the contract and its burst are used up.',
)
QUEUE_FULL: Final = ResultCode(
    302,
    'queue_full',
    HTTPStatus.TOO_MANY_REQUESTS,
    ExitStatus.REFUSED,
    Retry.AFTER_DELAY,
    'The customer has as many waiting jobs as its contract permits.',
)
OVERLOADED: Final = ResultCode(
    401,
    'overloaded',
    HTTPStatus.SERVICE_UNAVAILABLE,
    ExitStatus.UNAVAILABLE,
    Retry.AFTER_DELAY,
    'The process sheds load; nothing of the request was carried out.',
)
OWNER_UNAVAILABLE: Final = ResultCode(
    402,
    'owner_unavailable',
    HTTPStatus.SERVICE_UNAVAILABLE,
    ExitStatus.UNAVAILABLE,
    Retry.AFTER_DELAY,
    'No owner of the partition answers; nothing of the request was sent.',
)
STORE_UNAVAILABLE: Final = ResultCode(
    403,
    'store_unavailable',
    HTTPStatus.SERVICE_UNAVAILABLE,
    ExitStatus.UNAVAILABLE,
    Retry.AFTER_DELAY,
    'The store is out of reach, so the job cannot be made durable.',
)
OUTCOME_UNCERTAIN: Final = ResultCode(
    404,
    'outcome_uncertain',
    HTTPStatus.GATEWAY_TIMEOUT,
    ExitStatus.UNAVAILABLE,
    Retry.AT_ONCE,
    'No answer came in time; the job may or may not be accepted. Repeat with '
    'the same key to find out.',
)
NOT_CONFIGURED: Final = ResultCode(
    405,
    'not_configured',
    HTTPStatus.SERVICE_UNAVAILABLE,
    ExitStatus.UNAVAILABLE,
    Retry.AFTER_DELAY,
    'The process has no cell configuration from the store or a peer yet.',
)
DRAINING: Final = ResultCode(
    406,
    'draining',
    HTTPStatus.SERVICE_UNAVAILABLE,
    ExitStatus.UNAVAILABLE,
    Retry.AFTER_DELAY,
    'The process is shutting down; ask another entry host.',
)
INTERNAL_FAULT: Final = ResultCode(
    407,
    'internal_fault',
    HTTPStatus.INTERNAL_SERVER_ERROR,
    ExitStatus.UNAVAILABLE,
    Retry.AT_ONCE,
    'The process had an internal error or an internal time-out; repeat with '
    'the same key.',
)
PROCESS_UNREACHABLE: Final = ResultCode(
    408,
    'process_unreachable',
    HTTPStatus.SERVICE_UNAVAILABLE,
    ExitStatus.UNAVAILABLE,
    Retry.AT_ONCE,
    'The process named in the request does not answer this one.',
)
WAIT_ENDED: Final = ResultCode(
    409,
    'wait_ended',
    HTTPStatus.OK,
    ExitStatus.UNAVAILABLE,
    Retry.AT_ONCE,
    'The command stopped waiting before the expected state was reached.',
)
JOB_SUCCEEDED: Final = ResultCode(
    501,
    'job_succeeded',
    HTTPStatus.OK,
    ExitStatus.SUCCESS,
    Retry.AT_ONCE,
    'Every task of the job ended with success.',
)
JOB_FAILED: Final = ResultCode(
    502,
    'job_failed',
    HTTPStatus.OK,
    ExitStatus.JOB_FAILED,
    Retry.NEVER,
    'A task failed and the retry budget of the job is used up.',
)
JOB_CANCELLED: Final = ResultCode(
    503,
    'job_cancelled',
    HTTPStatus.OK,
    ExitStatus.JOB_FAILED,
    Retry.NEVER,
    'The job was cancelled; no task of it runs any longer.',
)
JOB_UNKNOWN: Final = ResultCode(
    504,
    'job_unknown',
    HTTPStatus.OK,
    ExitStatus.JOB_FAILED,
    Retry.NEVER,
    'A non-idempotent task may or may not have run; it is not repeated.',
)
JOB_NOT_RUN: Final = ResultCode(
    505,
    'job_not_run',
    HTTPStatus.OK,
    ExitStatus.JOB_FAILED,
    Retry.AT_ONCE,
    'The job ended before the owner sent any of its tasks to a worker.',
)
CONFIG_INVALID: Final = ResultCode(
    601,
    'config_invalid',
    HTTPStatus.UNPROCESSABLE_ENTITY,
    ExitStatus.BAD_REQUEST,
    Retry.NEVER,
    'The configuration has problems; each is named with line and field.',
)
CONFIG_CONFLICT: Final = ResultCode(
    602,
    'config_conflict',
    HTTPStatus.CONFLICT,
    ExitStatus.CONFLICT,
    Retry.NEVER,
    'Another operator changed the configuration since it was read.',
)
CONFIG_CONTRADICTORY: Final = ResultCode(
    605,
    'config_contradictory',
    HTTPStatus.OK,
    ExitStatus.UNMET,
    Retry.NEVER,
    'Parts of a valid configuration contradict each other.',
)
TRACES_MET: Final = ResultCode(
    107,
    'traces_met',
    HTTPStatus.OK,
    ExitStatus.SUCCESS,
    Retry.AT_ONCE,
    'Every stated outcome of every trace holds.',
)
TRACE_INVALID: Final = ResultCode(
    603,
    'trace_invalid',
    HTTPStatus.UNPROCESSABLE_ENTITY,
    ExitStatus.BAD_REQUEST,
    Retry.NEVER,
    'A trace file has problems; each is named with file, line and field.',
)
TRACES_UNMET: Final = ResultCode(
    604,
    'traces_unmet',
    HTTPStatus.OK,
    ExitStatus.UNMET,
    Retry.NEVER,
    'A stated outcome of a trace does not hold.',
)
