"""Calls for a former incarnation that the next one executes, in `World`.

The next incarnation has seen no token, and its clock has begun anew, so that
an expiry on the former clock gives it the longest lease. Each test guards
against a second run of a task beside one that still runs there.
"""

from typing import Final

from fuchsiarill.graphs.model import Step
from tests.graph_owner import BATCH, SIZE, task
from tests.graph_world import World
from tests.simulated_calls import STEP_MS

_WORKER: Final = 'w0'
_OTHER_WORKER: Final = 'w1'
# The clock of the first incarnation is then ahead of that of the second one by
# more than the longest lease.
_FIRST_LIFE_MS: Final = 10_000
_RUN_MS: Final = 30_000
_DELAY_MS: Final = 4000
_SLOWNESS: Final = 0.02
_STEPS_MAX_COUNT: Final = 100


def _world() -> World:
    """Return a world in which the owner reaches one of two workers."""
    world = World(_WORKER, _OTHER_WORKER)
    world.workers[_OTHER_WORKER].is_reachable = False
    world.clock_slowness = _SLOWNESS
    world.pass_time(_FIRST_LIFE_MS)
    return world


def _submit(world: World) -> None:
    world.submit(BATCH, [Step(1, SIZE, _RUN_MS)], _RUN_MS, failures=0)


def _wait_for_run(world: World, attempt: int) -> None:
    """Pass time until the worker runs this attempt of the task."""
    for _ in range(_STEPS_MAX_COUNT):
        if (task('j0'), attempt) in world.workers[_WORKER].runs:
            return
        world.pass_time(STEP_MS)
    raise AssertionError(f'attempt {attempt} has not started')


def _wait_for_report(world: World) -> None:
    """Pass time until the worker's present incarnation has reported."""
    for _ in range(_STEPS_MAX_COUNT):
        born_ms = world.owner.view(_WORKER).born_ms
        if born_ms == world.workers[_WORKER].born_ms:
            return
        world.pass_time(STEP_MS)
    raise AssertionError('the incarnation has not reported')


def _cut_off(world: World) -> None:
    """Cut the worker off, and connect the other one."""
    world.workers[_WORKER].is_reachable = False
    world.workers[_OTHER_WORKER].is_reachable = True


def _check_exclusive_runs(world: World) -> None:
    """Pass time until the task runs elsewhere, and check the runs."""
    world.pass_time(_RUN_MS - 2000)
    assert world.workers[_OTHER_WORKER].runs
    assert not world.violations


def test_start_for_former_incarnation_extends_no_lease_unseen() -> None:
    """Guards against leases that outlast the owner's bound after a restart.

    The first start has an expiry on the former clock. The owner learns of the
    restart from its answer, before the directory tells of it, and the worker is
    cut off once the next run has started.
    """
    world = _world()
    _submit(world)
    world.pass_time(STEP_MS)
    world.replace_incarnation(_WORKER)
    _wait_for_report(world)
    world.publish_directory()
    _wait_for_run(world, 2)
    _cut_off(world)
    _check_exclusive_runs(world)


def test_renewal_for_former_incarnation_extends_no_lease_unseen() -> None:
    """Guards against the same excess by a renewal that is executed late.

    The next incarnation executes it before the owner has fenced it.
    """
    world = _world()
    world.delays_ms[_WORKER] = 1000
    world.pass_time(STEP_MS)
    world.delays_ms.clear()
    world.replace_incarnation(_WORKER)
    world.pass_time(1000)
    world.publish_directory()
    _submit(world)
    _wait_for_run(world, 1)
    _cut_off(world)
    _check_exclusive_runs(world)


def test_unanswered_start_outlasts_no_bound() -> None:
    """Guards against a second run beside one that no report has listed.

    The worker is cut off before it has answered in its new incarnation.
    """
    world = _world()
    world.replace_incarnation(_WORKER)
    world.silence_renewal(_WORKER)
    world.workers[_WORKER].loses_answers = True
    _submit(world)
    _wait_for_run(world, 1)
    _cut_off(world)
    _check_exclusive_runs(world)


def test_unanswered_start_outlasts_no_bound_after_announcement() -> None:
    """Guards against the same when the directory lists the restart.

    A restart that is only listed proves no end of a run: the start may have
    been executed after it.
    """
    world = _world()
    world.replace_incarnation(_WORKER)
    world.silence_renewal(_WORKER)
    world.workers[_WORKER].loses_answers = True
    _submit(world)
    _wait_for_run(world, 1)
    _cut_off(world)
    world.publish_directory()
    _check_exclusive_runs(world)


def _restart_before_delayed_start(world: World) -> None:
    """Restart the worker and cut it off while a start is on its way to it.

    The next incarnation executes the start seconds later, without an answer.
    """
    world.delays_ms[_WORKER] = _DELAY_MS
    _submit(world)
    world.pass_time(STEP_MS)
    world.delays_ms.clear()
    world.replace_incarnation(_WORKER)
    _cut_off(world)


def test_delayed_start_in_listed_incarnation_outlasts_no_bound() -> None:
    """Guards against a second run beside one that starts behind a cut."""
    world = _world()
    _restart_before_delayed_start(world)
    world.publish_directory()
    _check_exclusive_runs(world)


def test_delayed_start_behind_cut_outlasts_no_bound() -> None:
    """Guards against the same while nothing tells the owner of the restart."""
    world = _world()
    _restart_before_delayed_start(world)
    _check_exclusive_runs(world)


def test_delayed_start_runs_in_no_unfenced_incarnation() -> None:
    """Guards against a second run by a start that the owner has settled.

    The incarnation that has confirmed its stop ends just before the start is
    executed, so that the next one has seen no token.
    """
    world = _world()
    world.delays_ms[_WORKER] = 1500
    _submit(world)
    world.pass_time(STEP_MS)
    world.delays_ms.clear()
    world.workers[_OTHER_WORKER].is_reachable = True
    world.workers[_WORKER].is_leaving = True
    world.publish_directory()
    world.pass_time(1350)
    world.replace_incarnation(_WORKER)
    world.silence_renewal(_WORKER)
    _check_exclusive_runs(world)
