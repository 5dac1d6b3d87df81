"""Decoding and validation of submissions in JSON; encoding of answers."""

from typing import Annotated, Any, Final

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    TypeAdapter,
    ValidationError,
    ValidationInfo,
    field_validator,
)
from pydantic_core import PydanticCustomError
from returns.result import Failure, Result, Success

from fuchsiarill import codes, texts
from fuchsiarill.answers import JobAnswer
from fuchsiarill.ids import CustomerId, JobClass
from fuchsiarill.job import Execution, JobSpec, Urgency, Workload
from fuchsiarill.refusal import Refusal, refuse
from fuchsiarill.resources import Resources

_Text = Annotated[str, Field(min_length=1, max_length=200)]
_Payload = Annotated[str, Field(max_length=100_000)]
_Count = Annotated[int, Field(ge=0, le=10_000_000)]
_TasksCount = Annotated[int, Field(ge=1, le=10_000)]

BATCH_MAX_COUNT: Final = 1000


class TaskSize(BaseModel):
    """Declared size of one task, which always takes one slot."""

    model_config = ConfigDict(extra='forbid', strict=True)

    processors_milli: Annotated[int, Field(ge=1, le=10_000_000)]
    memory_mb: Annotated[int, Field(ge=1, le=100_000_000)]
    accelerators_count: _Count = 0


class Submission(BaseModel):
    """One job as submitted by a caller."""

    model_config = ConfigDict(extra='forbid')

    # The order of the fields matters: a validator sees only the fields before
    # its own.
    idempotency_key: _Text
    workload: Workload = Workload.BATCH
    execution: Execution = Execution.IDEMPOTENT
    urgency: Urgency = Urgency.NORMAL
    job_class: _Text = 'default'
    tasks_count: _TasksCount = 1
    task_size: TaskSize
    run_time_ms: Annotated[int, Field(ge=0, le=10_000_000_000)] = 0
    payload: _Payload = ''

    @field_validator('execution')
    @classmethod
    def check_execution(
        cls,
        execution: Execution,
        info: ValidationInfo,
    ) -> Execution:
        """Refuse `at_most_once` for a service, since services are restarted."""
        is_service = info.data.get('workload') is Workload.SERVICE
        if is_service and execution is Execution.AT_MOST_ONCE:
            raise PydanticCustomError('service', texts.SERVICE_AT_MOST_ONCE)
        return execution

    @field_validator('run_time_ms')
    @classmethod
    def check_run_time(cls, run_time_ms: int, info: ValidationInfo) -> int:
        """Refuse a run time for a service, which has none."""
        is_service = info.data.get('workload') is Workload.SERVICE
        if is_service and run_time_ms:
            raise PydanticCustomError('service', texts.SERVICE_RUN_TIME)
        return run_time_ms


class Batch(BaseModel):
    """The body of a submission request."""

    model_config = ConfigDict(extra='forbid')

    jobs: Annotated[
        tuple[Submission, ...],
        Field(min_length=1, max_length=BATCH_MAX_COUNT),
    ]


_BATCH_ADAPTER: Final = TypeAdapter(Batch)


def parse_batch(
    body: bytes,
    customer: CustomerId,
) -> Result[tuple[JobSpec, ...], Refusal]:
    """Return the jobs in the body of a submission request, or its refusal."""
    try:
        batch = _BATCH_ADAPTER.validate_json(body, strict=True)
    except ValidationError as invalid:
        return Failure(invalid_body_refusal(invalid))
    refusal = _find_repeated_key(batch)
    if refusal is not None:
        return Failure(refusal)
    return Success(
        tuple(_as_spec(submission, customer) for submission in batch.jobs),
    )


def answer_object(answer: JobAnswer) -> dict[str, Any]:
    """Return the JSON object for one answer."""
    encoded: dict[str, Any] = {
        'code': answer.code.number,
        'name': answer.code.name,
    }
    if answer.job_id is not None:
        encoded['job_id'] = answer.job_id
    if answer.state is not None:
        encoded['state'] = answer.state.value
        encoded['outputs'] = list(answer.outputs)
    if answer.refusal is not None:
        encoded['text'] = answer.refusal.text
        encoded['field'] = answer.refusal.field
        encoded['retry_after_ms'] = answer.refusal.retry_after_ms
    return encoded


def invalid_body_refusal(invalid: ValidationError) -> Refusal:
    """Return the refusal of a body; it names the first invalid field."""
    error = invalid.errors()[0]
    field = '.'.join(str(part) for part in error['loc'])
    problem = f'{field}: {error["msg"]}' if field else error['msg']
    return refuse(
        codes.MALFORMED,
        texts.MALFORMED,
        field=field or None,
        problem=problem,
    )


def _find_repeated_key(batch: Batch) -> Refusal | None:
    """Refuse two jobs with the same key, since a key identifies one job."""
    first_fields: dict[str, str] = {}
    for position, submission in enumerate(batch.jobs):
        field = f'jobs.{position}.idempotency_key'
        first_field = first_fields.setdefault(submission.idempotency_key, field)
        if first_field == field:
            continue
        problem = texts.REPEATED_JOB_KEY.format(first=first_field)
        return refuse(
            codes.MALFORMED,
            texts.MALFORMED,
            field=field,
            problem=f'{field}: {problem}',
        )
    return None


def _as_spec(submission: Submission, customer: CustomerId) -> JobSpec:
    size = submission.task_size
    return JobSpec(
        customer=customer,
        idempotency_key=submission.idempotency_key,
        workload=submission.workload,
        execution=submission.execution,
        urgency=submission.urgency,
        job_class=JobClass(submission.job_class),
        tasks_count=submission.tasks_count,
        task_size=Resources(
            size.processors_milli,
            size.memory_mb,
            size.accelerators_count,
            slots_count=1,
        ),
        run_time_ms=submission.run_time_ms,
        payload=submission.payload,
    )
