"""Interpreter of the state charts in `charts/*.yaml`.

A chart file names the initial state and the transitions. Loading checks the
file against the `Enum` classes of states and events and the registered actions,
so a misspelt name, an unreachable state or an event that no transition uses is
reported at start, not at run time.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from importlib import resources
from itertools import product
from typing import Any, Generic, TypeVar

import yaml

_State = TypeVar('_State', bound=Enum)
_Event = TypeVar('_Event', bound=Enum)


class ChartError(Exception):
    """A chart file contradicts itself or the code that uses it."""


@dataclass(frozen=True, slots=True)
class Transition(Generic[_State]):
    """Target state of an event, and the actions of the transition."""

    target: _State
    actions: tuple[str, ...] = ()


class StateChart(Generic[_State, _Event]):
    """A loaded chart: the initial state and a table of transitions."""

    def __init__(
        self,
        initial: _State,
        table: dict[tuple[_State, _Event], Transition[_State]],
    ) -> None:
        """Create a chart without checks; `parse_chart` makes them."""
        self.initial = initial
        self._table = table
        self.final = frozenset(type(initial)) - {state for state, _ in table}

    def step(self, state: _State, event: _Event) -> Transition[_State] | None:
        """Return the transition, or `None` if `event` is ignored in `state`."""
        return self._table.get((state, event))

    def action_names(self) -> frozenset[str]:
        """Return all actions that the chart names."""
        return frozenset(
            action
            for transition in self._table.values()
            for action in transition.actions
        )


def load_chart(
    name: str,
    states: type[_State],
    events: type[_Event],
    actions: Iterable[str] = (),
) -> StateChart[_State, _Event]:
    """Load `charts/<name>.yaml` and check it.

    `actions` are the registered action names. Raises `ChartError`.
    """
    text = resources.files('fuchsiarill.charts').joinpath(f'{name}.yaml')
    return parse_chart(name, text.read_text(), states, events, actions)


def parse_chart(
    name: str,
    text: str,
    states: type[_State],
    events: type[_Event],
    actions: Iterable[str] = (),
) -> StateChart[_State, _Event]:
    """Build a chart from YAML text; raises `ChartError`."""
    document: dict[str, Any] = yaml.safe_load(text)
    table: dict[tuple[_State, _Event], Transition[_State]] = {}
    for row in document['transitions']:
        transition = Transition(
            _parse_member(name, states, row['to']),
            tuple(row.get('actions', ())),
        )
        for source, event in product(
            _as_list(row['from']),
            _as_list(row['event']),
        ):
            key = (
                _parse_member(name, states, source),
                _parse_member(name, events, event),
            )
            if key in table:
                raise ChartError(f'{name}: two transitions for {key}')
            table[key] = transition
    chart = StateChart(_parse_member(name, states, document['initial']), table)
    _check_reachable(name, chart.initial, table, states)
    _check_events(name, table, events)
    unknown_actions = chart.action_names() - frozenset(actions)
    if unknown_actions:
        raise ChartError(
            f'{name}: no handler for actions {sorted(unknown_actions)}'
        )
    return chart


def _as_list(entry: str | list[str]) -> list[str]:
    return [entry] if isinstance(entry, str) else entry


def _parse_member(name: str, kind: type[_State], text: str) -> _State:
    try:
        return kind(text)
    except ValueError:
        raise ChartError(
            f'{name}: {text!r} is not a {kind.__name__}',
        ) from None


def _check_reachable(
    name: str,
    initial: _State,
    table: dict[tuple[_State, _Event], Transition[_State]],
    states: type[_State],
) -> None:
    reached_states = {initial}
    pending_states = [initial]
    while pending_states:
        current = pending_states.pop()
        for (source, _event), transition in table.items():
            if source is not current or transition.target in reached_states:
                continue
            reached_states.add(transition.target)
            pending_states.append(transition.target)
    unreached_states = set(states) - reached_states
    if unreached_states:
        names = sorted(str(state.value) for state in unreached_states)
        raise ChartError(f'{name}: unreachable states {names}')


def _check_events(
    name: str,
    table: dict[tuple[_State, _Event], Transition[_State]],
    events: type[_Event],
) -> None:
    unused_events = set(events) - {event for _, event in table}
    if unused_events:
        names = sorted(str(event.value) for event in unused_events)
        raise ChartError(f'{name}: events without transition {names}')
