"""Starts with tickets that a worker executes late, behind a cut.

Each test ends with a check that no task ran twice or after its success.
"""

import pytest

from fuchsiarill.graphs.model import Step
from tests.advised_world import AdvisedWorld
from tests.graph_owner import ADVISED, SIZE

# The clock of the first incarnation is then ahead of that of the next one by
# more than the longest lease.
_FIRST_LIFE_MS = 7000
_LONG_RUN_MS = 60_000
# Just before a ticket of 2 s, granted 0.1 s before, expires.
_LATEST_MS = 1850
_CUT_AFTER_MS = 400
# See `test_gone_workers.py`.
_FINISH_MS = 14_000

_slow_clocks = pytest.mark.parametrize(
    ('clock_slowness', 'lapse_delay_ms'), [(0, 0), (0.02, 250)]
)


def _world(clock_slowness: float, lapse_delay_ms: int) -> AdvisedWorld:
    world = AdvisedWorld('w0')
    world.clock_slowness = clock_slowness
    world.lapse_delay_ms = lapse_delay_ms
    world.restart('w0')
    world.pass_time(_FIRST_LIFE_MS)
    return world


def _submit_late(world: AdvisedWorld, delay_ms: int) -> None:
    """Let `w0` execute a start late, cut it off, and add another worker."""
    world.delays_ms['w0'] = delay_ms
    world.submit(ADVISED, [Step(1, SIZE)], _LONG_RUN_MS, failures=0)
    world.pass_time(_CUT_AFTER_MS)
    world.delays_ms.clear()
    world.workers['w0'].is_reachable = False
    world.add_worker('w1')


def _check_moves_in_time(world: AdvisedWorld) -> None:
    world.pass_time(_FINISH_MS)
    assert world.workers['w1'].runs
    world.pass_time(_LONG_RUN_MS)
    assert not world.violations


@_slow_clocks
@pytest.mark.parametrize('delay_ms', [400, 1000, _LATEST_MS])
def test_present_incarnation_executes_late_start(
    delay_ms: int, clock_slowness: float, lapse_delay_ms: int
) -> None:
    """Guards against two runs of a task whose start was executed late."""
    world = _world(clock_slowness, lapse_delay_ms)
    _submit_late(world, delay_ms)
    _check_moves_in_time(world)


@_slow_clocks
@pytest.mark.parametrize('delay_ms', [400, 1000, _LATEST_MS])
def test_unknown_incarnation_executes_late_start(
    delay_ms: int, clock_slowness: float, lapse_delay_ms: int
) -> None:
    """Guards against a bound that takes the ticket for the known incarnation.

    The worker restarts unnoticed, the ticket is of the later incarnation, and
    the expiry is far ahead of its clock.
    """
    world = _world(clock_slowness, lapse_delay_ms)
    world.silence_renewal('w0')
    world.replace_incarnation('w0')
    _submit_late(world, delay_ms)
    _check_moves_in_time(world)


@_slow_clocks
def test_late_renewal_in_listed_incarnation_is_waited_for(
    clock_slowness: float, lapse_delay_ms: int
) -> None:
    """Guards against a bound without the calls for the former incarnation.

    The directory lists the incarnation that has executed the start. A renewal
    for the one before extends its leases seconds later.
    """
    world = _world(clock_slowness, lapse_delay_ms)
    world.delays_ms['w0'] = 7000
    world.pass_time(100)
    world.replace_incarnation('w0')
    _submit_late(world, 1000)
    world.publish_directory()
    world.pass_time(2 * _LONG_RUN_MS)
    assert not world.violations
