"""Table of the known processes, and the merge of two tables by gossip.

A table has two parts. Details (address, failure domain, partitions owned)
change rarely; a beat has a fixed size of 16 bytes on the wire and changes in
each round of gossip, by default each second. An exchange, i.e. the gossip
messages by which two processes merge their tables, opens with all beats, but
carries only the details that the other side lacks, so its size stays small
with hundreds of members.
"""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Final

from fuchsiarill.ids import (
    FailureDomain,
    Generation,
    PartitionId,
    ProcessId,
    RegionId,
)
from fuchsiarill.settings import MembershipSettings
from fuchsiarill.state_chart import load_chart
from fuchsiarill.states import MemberEvent, MemberState, ProcessState

MEMBER_CHART: Final = load_chart('member', MemberState, MemberEvent)

NO_GENERATION: Final = Generation(0)


@dataclass(frozen=True, slots=True)
class MemberDetail:
    """Rarely changing attributes of a process.

    `incarnation` is higher after each restart, `version` after each change
    within one incarnation.
    """

    process: ProcessId
    region: RegionId
    failure_domain: FailureDomain
    address: str
    incarnation: int
    version: int = 0
    state: ProcessState = ProcessState.STARTING
    partitions: tuple[PartitionId, ...] = ()

    @property
    def version_order(self) -> tuple[int, int]:
        """Return the sort key by which a newer detail is recognised."""
        return (self.incarnation, self.version)

    @property
    def key(self) -> int:
        """Return the checksum by which beats refer to this detail."""
        identity = f'{self.process}\n{self.incarnation}\n{self.version}'
        return zlib.crc32(identity.encode())


@dataclass(frozen=True, slots=True)
class Beat:
    """Frequently changing state of a process; the highest heartbeat wins."""

    key: int
    heartbeat: int
    generation: Generation
    load_permille: int
    store_is_down: bool = False


@dataclass(frozen=True, slots=True)
class Gossip:
    """One message of an exchange; its sender lacks the details in `wanted`."""

    beats: tuple[Beat, ...]
    details: tuple[MemberDetail, ...] = ()
    wanted: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Member:
    """A process as seen by the process that holds the table."""

    detail: MemberDetail
    beat: Beat
    last_heartbeat_at_ms: int
    state: MemberState = MemberState.LIVE

    @property
    def reachable(self) -> bool:
        """Return whether the process is regarded as alive and listening."""
        is_stopped = self.detail.state is ProcessState.STOPPED
        return self.state is MemberState.LIVE and not is_stopped


class MemberTable:
    """All known members, including this process."""

    def __init__(
        self,
        settings: MembershipSettings,
        own_detail: MemberDetail,
        now_ms: int,
    ) -> None:
        """Start with this process only."""
        self._settings = settings
        self._own_id = own_detail.process
        beat = Beat(own_detail.key, 0, NO_GENERATION, 0)
        self._members = {own_detail.process: Member(own_detail, beat, now_ms)}
        self._process_by_key = {own_detail.key: own_detail.process}
        # Removed members by key: older gossip must not add them again.
        self._removed: dict[int, Member] = {}

    @property
    def own_member(self) -> Member:
        """Return the member that stands for this process."""
        return self._members[self._own_id]

    def members(self) -> tuple[Member, ...]:
        """Return all members in the order of their ids."""
        return tuple(
            self._members[process] for process in sorted(self._members)
        )

    def update_own(self, detail: MemberDetail) -> None:
        """Store a new version of the detail of this process."""
        own_member = self.own_member
        new_detail = replace(detail, version=own_member.detail.version + 1)
        beat = replace(own_member.beat, key=new_detail.key)
        self._put(Member(new_detail, beat, own_member.last_heartbeat_at_ms))

    def beat(
        self,
        generation: Generation,
        load_permille: int,
        now_ms: int,
        *,
        store_is_down: bool = False,
    ) -> tuple[Member, ...]:
        """Increment this process's heartbeat and check the others for silence.

        Returns the members that were removed from the view.
        """
        own_member = self.own_member
        own_beat = Beat(
            own_member.detail.key,
            own_member.beat.heartbeat + 1,
            generation,
            load_permille,
            store_is_down,
        )
        self._put(Member(own_member.detail, own_beat, now_ms))
        for key, removed in tuple(self._removed.items()):
            if (
                now_ms - removed.last_heartbeat_at_ms
                > self._settings.forget_after_ms
            ):
                self._removed.pop(key)
        return tuple(
            member
            for member in self.members()
            if self._check_silence(member, now_ms)
        )

    def opening_message(self) -> Gossip:
        """Return the first message of an exchange."""
        return Gossip(tuple(member.beat for member in self.members()))

    def merge(self, received: Gossip, now_ms: int) -> Gossip:
        """Merge newer beats and details, and return the answer to the sender.

        The answer holds the beats that the sender lacks, the details that the
        sender lacks or has requested, and the keys of the details that this
        process lacks.
        """
        beats = {beat.key: beat for beat in received.beats}
        for detail in received.details:
            self._merge_detail(detail, beats.get(detail.key), now_ms)
        for beat in received.beats:
            self._merge_beat(beat, now_ms)
        return Gossip(
            beats=tuple(self._newer_beats(beats)),
            details=tuple(
                self._requested_or_unknown_details(beats, received.wanted)
            ),
            wanted=tuple(
                key for key in beats if self._lacks_detail(beats[key])
            ),
        )

    def requested_details(self, wanted: Iterable[int]) -> Gossip:
        """Return the details that the other side requested."""
        details = tuple(self._requested_or_unknown_details({}, tuple(wanted)))
        keys = {detail.key for detail in details}
        beats = (member.beat for member in self.members())
        return Gossip(
            tuple(beat for beat in beats if beat.key in keys),
            details,
        )

    def _put(self, member: Member) -> None:
        process = member.detail.process
        known = self._members.get(process)
        if known is not None:
            self._process_by_key.pop(known.detail.key, None)
        self._members[process] = member
        self._process_by_key[member.detail.key] = process

    def _check_silence(self, member: Member, now_ms: int) -> bool:
        """Return whether the member was removed for its silence."""
        if member.detail.process == self._own_id:
            return False
        silence_limit_ms = self._settings.suspect_after_ms
        if member.state is MemberState.SUSPECTED:
            silence_limit_ms = self._settings.remove_after_ms
        if now_ms - member.last_heartbeat_at_ms < silence_limit_ms:
            return False
        step = MEMBER_CHART.step(member.state, MemberEvent.SILENT)
        if step is None:
            return False
        if step.target is MemberState.REMOVED:
            self._members.pop(member.detail.process)
            self._process_by_key.pop(member.detail.key)
            self._removed[member.detail.key] = member
            return True
        self._put(replace(member, state=step.target))
        return False

    def _merge_detail(
        self,
        detail: MemberDetail,
        beat: Beat | None,
        now_ms: int,
    ) -> None:
        if detail.process == self._own_id:
            self._supersede(detail)
            return
        known = self._members.get(detail.process)
        if (
            known is not None
            and known.detail.version_order >= detail.version_order
        ):
            return
        if beat is None or self._is_stale(beat):
            return
        if known is not None and known.detail.incarnation == detail.incarnation:
            # The heartbeat never decreases within an incarnation.
            if beat.heartbeat < known.beat.heartbeat:
                beat = replace(beat, heartbeat=known.beat.heartbeat)
        self._put(Member(detail, beat, now_ms))

    def _supersede(self, detail: MemberDetail) -> None:
        """Supersede a detail of an earlier run whose clock was ahead."""
        own_detail = self.own_member.detail
        if detail.version_order > own_detail.version_order:
            self.update_own(
                replace(own_detail, incarnation=detail.incarnation + 1)
            )

    def _merge_beat(self, beat: Beat, now_ms: int) -> None:
        process = self._process_by_key.get(beat.key)
        if process is None or process == self._own_id:
            return
        member = self._members[process]
        if beat.heartbeat <= member.beat.heartbeat:
            return
        step = MEMBER_CHART.step(member.state, MemberEvent.HEARD)
        state = member.state if step is None else step.target
        self._members[process] = Member(member.detail, beat, now_ms, state)

    def _newer_beats(self, beats: dict[int, Beat]) -> Iterable[Beat]:
        for member in self.members():
            received = beats.get(member.detail.key)
            if received is None or received.heartbeat < member.beat.heartbeat:
                yield member.beat

    def _requested_or_unknown_details(
        self,
        beats: dict[int, Beat],
        wanted: tuple[int, ...],
    ) -> Iterable[MemberDetail]:
        requested = set(wanted)
        for member in self.members():
            key = member.detail.key
            if key in requested or (beats and key not in beats):
                yield member.detail

    def _lacks_detail(self, beat: Beat) -> bool:
        return beat.key not in self._process_by_key and not self._is_stale(beat)

    def _is_stale(self, beat: Beat) -> bool:
        removed = self._removed.get(beat.key)
        return removed is not None and removed.beat.heartbeat >= beat.heartbeat
