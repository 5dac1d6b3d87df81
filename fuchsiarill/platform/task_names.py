"""Names of tasks and steps on the wire: JOB.OCCURRENCE.STEP.POSITION."""

from fuchsiarill.graphs.model import StepKey, TaskKey
from fuchsiarill.ids import JobId


def task_name(task: TaskKey) -> str:
    """Return the wire name of a task."""
    return f'{task.job}.{task.occurrence}.{task.step}.{task.position}'


def step_name(step: StepKey) -> str:
    """Return JOB.OCCURRENCE.STEP for a step of one occurrence."""
    return f'{step.job}.{step.occurrence}.{step.step}'


def parse_task(name: str) -> TaskKey:
    """Parse the wire name of a task; raises `ValueError`."""
    job, occurrence, step, position = name.split('.')
    return TaskKey(JobId(job), int(occurrence), int(step), int(position))
