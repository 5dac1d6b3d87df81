"""Kinds of faults: failures of links, the store and the host list."""

from functools import partial
from typing import Annotated, Literal

from pydantic import Field

from fuchsiarill.replay.fake_store import ReplyLoss
from fuchsiarill.replay.kinds import (
    FAULT_KINDS,
    FaultKind,
    Undo,
    combine_undos,
    set_attribute,
)
from fuchsiarill.replay.network import AnswerDelay, Link, SilentLink
from fuchsiarill.replay.world import World

_Positive = Annotated[int, Field(gt=0)]


class _LinkFault(FaultKind):
    """Base of faults that affect calls between two sets of endpoints.

    Each set holds names as in `World.find_processes` or
    `World.find_workers`, failure domains, `store`, `host_list` or `client`.
    """

    calls_from: tuple[str, ...]
    calls_to: tuple[str, ...]

    def links(self, world: World) -> tuple[Link, Link]:
        """Return the link from `calls_from` to `calls_to` and its reverse."""
        sources = _endpoint_names(world, self.calls_from)
        targets = _endpoint_names(world, self.calls_to)
        return Link(sources, targets), Link(targets, sources)


@FAULT_KINDS.register('cut')
class Cut(_LinkFault):
    """Messages between the sets are lost.

    With `one_way`, only messages from `calls_from` to `calls_to` are lost.
    """

    one_way: bool = False

    def begin(self, world: World) -> Undo:
        """Cut the link."""
        cuts = list(self.links(world))
        if self.one_way:
            cuts.pop()
        world.network.cuts += cuts
        return combine_undos(
            [partial(world.network.cuts.remove, cut) for cut in cuts]
        )


@FAULT_KINDS.register('connection_silent')
class ConnectionSilent(_LinkFault):
    """Open connections never answer again; new connections work.

    The next call of each pair of endpoints gets no answer; with `reaches` the
    call still takes effect.
    """

    reaches: bool = False

    def begin(self, world: World) -> Undo:
        """Silence the open connections."""
        link, _ = self.links(world)
        silent_link = SilentLink(link, self.reaches)
        world.network.silence(silent_link)
        return partial(world.network.silent_links.remove, silent_link)


@FAULT_KINDS.register('answers_late')
class AnswersLate(_LinkFault):
    """Every `every`-th answer is `delay_ms` late, after later answers."""

    delay_ms: _Positive
    every: _Positive = 2

    def begin(self, world: World) -> Undo:
        """Delay answers."""
        link, _ = self.links(world)
        answer_delay = AnswerDelay(link, self.delay_ms, self.every)
        world.network.answer_delays.append(answer_delay)
        return partial(world.network.answer_delays.remove, answer_delay)


@FAULT_KINDS.register('store_down')
class StoreDown(FaultKind):
    """The store refuses connections or, when `silent`, never answers.

    Its leases still expire on time.
    """

    mode: Literal['refusing', 'silent'] = 'silent'

    def begin(self, world: World) -> Undo:
        """Make the store unavailable."""
        if self.mode == 'refusing':
            world.network.reset(world.store.endpoint)
            return set_attribute(world.store.endpoint, 'refusing', setting=True)
        return set_attribute(world.store, 'is_silent', setting=True)


@FAULT_KINDS.register('store_slow')
class StoreSlow(FaultKind):
    """The store answers `delay_ms` later than usual."""

    delay_ms: _Positive

    def begin(self, world: World) -> Undo:
        """Delay the store's answers."""
        return set_attribute(world.store, 'delay_ms', self.delay_ms)


@FAULT_KINDS.register('store_loses_reply')
class StoreLosesReply(FaultKind):
    """The next `count` calls of an operation take effect without an answer.

    Only calls on keys that begin with `prefix` count; lease calls have no
    key.
    """

    operation: Literal['swap', 'grant', 'renew', 'revoke'] = 'swap'
    prefix: str = ''
    count: _Positive = 1

    def begin(self, world: World) -> Undo:
        """Drop the replies."""
        loss = ReplyLoss(self.operation, self.prefix, self.count)
        world.store.reply_losses.append(loss)
        return partial(world.store.reply_losses.remove, loss)


@FAULT_KINDS.register('store_drops_leases')
class StoreDropsLeases(FaultKind):
    """The store ends all leases before they expire."""

    def begin(self, world: World) -> Undo:
        """End the leases; there is nothing to undo."""
        world.store.drop_leases()
        return combine_undos([])


@FAULT_KINDS.register('watch_stuck')
class WatchStuck(FaultKind):
    """Watches get no answer, not even at the end of their wait time."""

    def begin(self, world: World) -> Undo:
        """Stop answering watches."""
        return set_attribute(world.store, 'is_watch_stuck', setting=True)


@FAULT_KINDS.register('host_list_lags')
class HostListLags(FaultKind):
    """The host list shows its state of `lag_ms` ago."""

    lag_ms: _Positive

    def begin(self, world: World) -> Undo:
        """Set the lag of the host list."""
        return set_attribute(world.host_list, 'lag_ms', self.lag_ms)


@FAULT_KINDS.register('host_list_down')
class HostListDown(FaultKind):
    """The host list never answers."""

    def begin(self, world: World) -> Undo:
        """Stop answering reads of the host list."""
        return set_attribute(world.host_list, 'is_silent', setting=True)


def _endpoint_names(world: World, names: tuple[str, ...]) -> frozenset[str]:
    resolved = set(names)
    for name in names:
        resolved.update(process.name for process in world.find_processes(name))
        resolved.update(worker.name for worker in world.find_workers((name,)))
    return frozenset(resolved)
