"""Interpreter of the state charts in `charts/*.yaml`.

A chart file names its states and transitions. Loading checks the file against
the `Enum` classes of states and events, so a misspelt name, an unreachable
state or an event that no transition uses is reported at start, not at run time.
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
        """Create a chart without checks; `load_chart` makes them."""
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
            _member(name, states, row['to']),
            tuple(row.get('actions', ())),
        )
        for source, event in product(
            _as_list(row['from']),
            _as_list(row['event']),
        ):
            key = (
                _member(name, states, source),
                _member(name, events, event),
            )
            if key in table:
                raise ChartError(f'{name}: two transitions for {key}')
            table[key] = transition
    chart = StateChart(_member(name, states, document['initial']), table)
    _check_reachable(name, chart.initial, table, states)
    _check_events(name, table, events)
    unknown = chart.action_names() - frozenset(actions)
    if unknown:
        raise ChartError(f'{name}: no handler for actions {sorted(unknown)}')
    return chart


def _as_list(entry: str | list[str]) -> list[str]:
    return [entry] if isinstance(entry, str) else entry


def _member(name: str, kind: type[_State], text: str) -> _State:
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
    reached = {initial}
    pending = [initial]
    while pending:
        current = pending.pop()
        for (source, _event), transition in table.items():
            if source is not current or transition.target in reached:
                continue
            reached.add(transition.target)
            pending.append(transition.target)
    unreached = set(states) - reached
    if unreached:
        names = sorted(str(state.value) for state in unreached)
        raise ChartError(f'{name}: unreachable states {names}')


def _check_events(
    name: str,
    table: dict[tuple[_State, _Event], Transition[_State]],
    events: type[_Event],
) -> None:
    unused = set(events) - {event for _, event in table}
    if unused:
        names = sorted(str(event.value) for event in unused)
        raise ChartError(f'{name}: events without transition {names}')
