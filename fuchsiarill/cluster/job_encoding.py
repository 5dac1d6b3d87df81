"""Conversion between job messages and their capnp form."""

from importlib import resources
from typing import Any, Final

import capnp

from fuchsiarill import codes
from fuchsiarill.answers import JobAnswer
from fuchsiarill.ids import CustomerId, JobClass, JobId
from fuchsiarill.job import Execution, JobSpec, Urgency, Workload
from fuchsiarill.refusal import Refusal
from fuchsiarill.resources import Resources
from fuchsiarill.states import JobState


def _load_schema() -> Any:
    capnp.remove_import_hook()
    path = resources.files('fuchsiarill.cluster').joinpath('peer.capnp')
    return capnp.load(str(path))


SCHEMA: Final = _load_schema()


def spec_fields(spec: JobSpec) -> dict[str, Any]:
    """Return a job spec as fields of the schema."""
    size = spec.task_size
    return {
        'customer': spec.customer,
        'idempotencyKey': spec.idempotency_key,
        'workload': spec.workload.value,
        'execution': spec.execution.value,
        'urgency': spec.urgency.value,
        'jobClass': spec.job_class,
        'tasksCount': spec.tasks_count,
        'taskSize': {
            'processorsMilli': size.processors_milli,
            'memoryMb': size.memory_mb,
            'acceleratorsCount': size.accelerators_count,
            'slotsCount': size.slots_count,
        },
        'runTimeMs': spec.run_time_ms,
        'payload': spec.payload,
    }


def read_spec(encoded: Any) -> JobSpec:
    """Decode the struct of a job spec."""
    size = encoded.taskSize
    return JobSpec(
        customer=CustomerId(encoded.customer),
        idempotency_key=encoded.idempotencyKey,
        workload=Workload(encoded.workload),
        execution=Execution(encoded.execution),
        urgency=Urgency(encoded.urgency),
        job_class=JobClass(encoded.jobClass),
        tasks_count=encoded.tasksCount,
        task_size=Resources(
            size.processorsMilli,
            size.memoryMb,
            size.acceleratorsCount,
            size.slotsCount,
        ),
        run_time_ms=encoded.runTimeMs,
        payload=encoded.payload,
    )


def answer_fields(answer: JobAnswer) -> dict[str, Any]:
    """Return an answer as fields of the schema."""
    encoded: dict[str, Any] = {
        'codeNumber': answer.code.number,
        'jobId': answer.job_id or '',
        'state': '' if answer.state is None else answer.state.value,
        'outputs': list(answer.outputs),
    }
    if answer.refusal is not None:
        encoded['refusalText'] = answer.refusal.text
        encoded['refusalField'] = answer.refusal.field or ''
        encoded['retryAfterMs'] = answer.refusal.retry_after_ms or 0
    return encoded


def read_answer(encoded: Any) -> JobAnswer:
    """Decode the struct of an answer."""
    code = codes.by_number(encoded.codeNumber)
    refusal = None
    if encoded.refusalText:
        refusal = Refusal(
            code,
            encoded.refusalText,
            encoded.refusalField or None,
            encoded.retryAfterMs or None,
        )
    return JobAnswer(
        code=code,
        job_id=JobId(encoded.jobId) if encoded.jobId else None,
        state=JobState(encoded.state) if encoded.state else None,
        outputs=tuple(encoded.outputs),
        refusal=refusal,
    )
