"""Which starts the model of the workers refuses for want of a valid ticket."""

import json
from typing import Any

import pytest
from returns.result import Failure, Result, Success

from fuchsiarill.clock import now_ms, run_paused, sleep_ms
from fuchsiarill.graphs.model import (
    NO_CHECKPOINT,
    StartOrder,
    StepKey,
    TaskKey,
    Ticket,
)
from fuchsiarill.ids import Epoch, FencingToken, JobId, WorkerId
from fuchsiarill.ports.agents import AgentAddress, AgentFailure
from fuchsiarill.resources import Resources

from standins.agent_model import Fleet

# Imported because it registers the routes of workers.
from standins.emulator import worker_routes  # noqa: F401
from standins.emulator.calls import ROUTES, Answer, Call
from standins.emulator.cell import TICKET_VALIDITY_MS, EmulatedCell

_W0 = WorkerId('w0')
_AGENT = AgentAddress(_W0, 'w0')
_TIMEOUT_MS = 350
_VALIDITY_MS = 3000
_CAPACITY = Resources(8000, 16000)
_JOB = JobId('0123456789abcdef')
_STEP = StepKey(_JOB, 0, 0)
_REFUSED = Failure(AgentFailure.TICKET_INVALID)


def _fleet() -> Fleet:
    fleet = Fleet()
    fleet.add('w0', _CAPACITY)
    return fleet


def _ticket(fleet: Fleet, step: StepKey = _STEP) -> Ticket:
    return fleet.grant_tickets(step, (_W0,), _VALIDITY_MS)[_W0]


async def _start(
    fleet: Fleet,
    ticket: Ticket | None,
    attempt: int = 1,
    position: int = 0,
) -> Result[int, AgentFailure]:
    order = StartOrder(
        TaskKey(_JOB, 0, 0, position),
        attempt,
        '{"needs_ticket": true}',
        FencingToken(Epoch(1)),
        fleet.agents['w0'].clock_ms() + 5000,
        NO_CHECKPOINT,
        ticket,
    )
    return await fleet.start(_AGENT, order, _TIMEOUT_MS)


def test_ticket_admits_all_tasks_of_its_step() -> None:
    """Guards against a model that accepts a ticket once."""

    async def scenario() -> None:
        fleet = _fleet()
        ticket = _ticket(fleet)
        for position in range(2):
            answer = await _start(fleet, ticket, position=position)
            assert isinstance(answer, Success)
        await sleep_ms(_VALIDITY_MS - 100)
        assert isinstance(await _start(fleet, ticket, position=2), Success)

    run_paused(scenario())


def test_start_without_a_ticket_is_refused() -> None:
    """Guards against an owner whose starts in an advised queue have none."""

    async def scenario() -> None:
        fleet = _fleet()
        assert await _start(fleet, None) == _REFUSED
        assert await _start(fleet, Ticket('other')) == _REFUSED

    run_paused(scenario())


def test_ticket_of_another_step_is_refused() -> None:
    """Guards against a model that accepts any ticket that was granted."""

    async def scenario() -> None:
        fleet = _fleet()
        other_step = StepKey(_JOB, 0, 1)
        assert await _start(fleet, _ticket(fleet, other_step)) == _REFUSED

    run_paused(scenario())


def test_ticket_of_another_worker_is_refused() -> None:
    """Guards against a ticket that admits a step on each worker."""

    async def scenario() -> None:
        fleet = _fleet()
        fleet.add('w1', _CAPACITY)
        workers = (_W0, WorkerId('w1'), WorkerId('ended'))
        granted = fleet.grant_tickets(_STEP, workers, _VALIDITY_MS)
        assert set(granted) == {'w0', 'w1'}
        assert await _start(fleet, granted[WorkerId('w1')]) == _REFUSED

    run_paused(scenario())


def test_refused_start_extends_no_lease() -> None:
    """Guards against a lease from a start whose ticket has expired."""

    async def scenario() -> None:
        fleet = _fleet()
        ticket = _ticket(fleet)
        await _start(fleet, ticket)
        lease_expiry_ms = fleet.agents['w0'].lease_expiry_ms
        await sleep_ms(_VALIDITY_MS)
        assert await _start(fleet, ticket, position=1) == _REFUSED
        assert fleet.agents['w0'].lease_expiry_ms == lease_expiry_ms
        assert len(fleet.starts) == 1

    run_paused(scenario())


@pytest.mark.parametrize('delay_ms', [1000, _VALIDITY_MS + 1000])
@pytest.mark.parametrize('restarts', [False, True])
def test_late_start_needs_a_valid_ticket(
    delay_ms: int, *, restarts: bool
) -> None:
    """Guards against a late start in an incarnation without the ticket.

    An owner starts the task elsewhere once the ticket has expired.
    """

    async def scenario() -> None:
        fleet = _fleet()
        fleet.delayed_calls.delays_ms = {'w0': delay_ms}
        ordered_ms = now_ms()
        answer = await _start(fleet, _ticket(fleet))
        assert answer == Failure(AgentFailure.UNKNOWN)
        if restarts:
            fleet.add('w0', _CAPACITY)
        await sleep_ms(ordered_ms + delay_ms + 100 - now_ms())
        assert not fleet.delayed_calls.calls_count
        is_valid = delay_ms < _VALIDITY_MS and not restarts
        assert len(fleet.starts) == int(is_valid)

    run_paused(scenario())


async def _call(cell: EmulatedCell, path: str, body: dict[str, Any]) -> Answer:
    call = Call(path, {}, body, 'w0', cell.store_paths[0])
    return await ROUTES.lookup(f'POST {path}')(cell, call)


def test_emulated_worker_refuses_an_expired_ticket() -> None:
    """Guards against an emulator that checks no ticket, or answers otherwise.

    Status 409 with the reason `ticket` tells an owner to ask for another one.
    """

    async def scenario() -> None:
        cell = EmulatedCell(workers_count=0, store_paths_count=1)
        cell.fleet.add('w0', _CAPACITY)
        step_id = f'{_JOB}.0.0'
        advice = await _call(
            cell, '/advise', {'step_id': step_id, 'workers': ['w0']}
        )
        granted = dict(json.loads(json.dumps(advice.document))['granted'])
        start = {
            'task': f'{step_id}.0',
            'attempt': 1,
            'spec': '{"needs_ticket": true}',
            'fence_token': 1,
            'deadline_ms': 10_000,
            'ticket': granted['w0'],
        }
        assert (await _call(cell, '/run-start', start)).status == 200
        await sleep_ms(TICKET_VALIDITY_MS)
        start['task'] = f'{step_id}.1'
        refusal = await _call(cell, '/run-start', start)
        assert refusal.status == 409
        assert refusal.document['reason'] == 'ticket'

    run_paused(scenario())
