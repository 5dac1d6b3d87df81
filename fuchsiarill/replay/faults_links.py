"""Kinds of faults of links, of the store and of the host list."""

from functools import partial
from typing import Annotated, Literal

from pydantic import Field

from fuchsiarill.replay.fakes import ReplyLoss
from fuchsiarill.replay.kinds import (
    FAULT_KINDS,
    FaultKind,
    Undo,
    undo_all,
    undo_switch,
)
from fuchsiarill.replay.network import Lateness, Link, Silence
from fuchsiarill.replay.world import World

_Positive = Annotated[int, Field(gt=0)]


class _LinkFault(FaultKind):
    """Base of faults on the calls between endpoints.

    Each side names processes, workers, failure domains, `store`,
    `host_list` or `client`.
    """

    calls_from: tuple[str, ...]
    calls_to: tuple[str, ...]

    def links(self, world: World) -> tuple[Link, Link]:
        """Return the link and its reverse."""
        sources = _resolved(world, self.calls_from)
        targets = _resolved(world, self.calls_to)
        return Link(sources, targets), Link(targets, sources)


@FAULT_KINDS.register('cut')
class Cut(_LinkFault):
    """Nothing passes; with `one_way` only messages from the first side."""

    one_way: bool = False

    def begin(self, world: World) -> Undo:
        """Cut."""
        cuts = list(self.links(world))
        if self.one_way:
            cuts.pop()
        world.network.cuts += cuts
        return undo_all(
            [partial(world.network.cuts.remove, cut) for cut in cuts]
        )


@FAULT_KINDS.register('connection_silent')
class ConnectionSilent(_LinkFault):
    """Present connections never answer again; new ones work.

    The next call of each pair has no answer; it takes effect if `reaches`.
    """

    reaches: bool = False

    def begin(self, world: World) -> Undo:
        """Silence the connections."""
        link, _ = self.links(world)
        silence = Silence(link, self.reaches)
        world.network.silence(silence)
        return partial(world.network.silences.remove, silence)


@FAULT_KINDS.register('answers_late')
class AnswersLate(_LinkFault):
    """Every `every`-th answer comes `delay_ms` late and crosses others."""

    delay_ms: _Positive
    every: _Positive = 2

    def begin(self, world: World) -> Undo:
        """Delay answers."""
        link, _ = self.links(world)
        lateness = Lateness(link, self.delay_ms, self.every)
        world.network.latenesses.append(lateness)
        return partial(world.network.latenesses.remove, lateness)


@FAULT_KINDS.register('store_down')
class StoreDown(FaultKind):
    """The store refuses connections or, `silent`, never answers.

    Its leases lapse on time meanwhile.
    """

    mode: Literal['refusing', 'silent'] = 'silent'

    def begin(self, world: World) -> Undo:
        """Take the store down."""
        if self.mode == 'refusing':
            world.network.reset(world.store.endpoint)
            return undo_switch(world.store.endpoint, 'refusing', setting=True)
        return undo_switch(world.store, 'is_silent', setting=True)


@FAULT_KINDS.register('store_slow')
class StoreSlow(FaultKind):
    """The store answers `delay_ms` later than usual."""

    delay_ms: _Positive

    def begin(self, world: World) -> Undo:
        """Slow the store."""
        return undo_switch(world.store, 'delay_ms', self.delay_ms)


@FAULT_KINDS.register('store_loses_reply')
class StoreLosesReply(FaultKind):
    """The next `count` calls of a kind take effect without an answer.

    Only calls on keys that begin with `prefix` count; lease calls have none.
    """

    operation: Literal['swap', 'grant', 'renew', 'revoke'] = 'swap'
    prefix: str = ''
    count: _Positive = 1

    def begin(self, world: World) -> Undo:
        """Lose replies."""
        loss = ReplyLoss(self.operation, self.prefix, self.count)
        world.store.losses.append(loss)
        return partial(world.store.losses.remove, loss)


@FAULT_KINDS.register('store_drops_leases')
class StoreDropsLeases(FaultKind):
    """The store ends all leases at once, before their time."""

    def begin(self, world: World) -> Undo:
        """End the leases; there is nothing to undo."""
        world.store.drop_leases()
        return undo_all([])


@FAULT_KINDS.register('watch_stuck')
class WatchStuck(FaultKind):
    """Watches get no answer, not even at the end of their wait."""

    def begin(self, world: World) -> Undo:
        """Stop answering watches."""
        return undo_switch(world.store, 'is_watch_stuck', setting=True)


@FAULT_KINDS.register('host_list_lags')
class HostListLags(FaultKind):
    """The list shows what was true `lag_ms` ago."""

    lag_ms: _Positive

    def begin(self, world: World) -> Undo:
        """Let the list lag."""
        return undo_switch(world.host_list, 'lag_ms', self.lag_ms)


@FAULT_KINDS.register('host_list_down')
class HostListDown(FaultKind):
    """The list never answers."""

    def begin(self, world: World) -> Undo:
        """Take the list down."""
        return undo_switch(world.host_list, 'is_silent', setting=True)


def _resolved(world: World, names: tuple[str, ...]) -> frozenset[str]:
    found = set(names)
    for name in names:
        found.update(one.name for one in world.find_processes(name))
        found.update(one.name for one in world.find_workers((name,)))
    return frozenset(found)
