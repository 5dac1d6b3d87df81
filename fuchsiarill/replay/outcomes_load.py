"""Outcomes about store load, customers' shares and event counts."""

from collections import Counter
from collections.abc import Iterator
from typing import Annotated, Any, Final

from pydantic import Field

from fuchsiarill.replay.evidence import Evidence
from fuchsiarill.replay.kinds import OUTCOME_KINDS, OutcomeKind, Violation
from fuchsiarill.replay.observations import Observation, ObservationKind

_Time = Annotated[int, Field(ge=0)]
_Positive = Annotated[int, Field(gt=0)]
_Count = Annotated[int, Field(ge=0)]

# The platform limits store calls in these two groups.
_GROUP_OF_OPERATION: Final = {
    'get': 'reads',
    'watch': 'reads',
    'swap': 'writes',
    'grant': 'writes',
    'renew': 'writes',
    'revoke': 'writes',
}


@OUTCOME_KINDS.register('store_calls_at_most')
class StoreCallsAtMost(OutcomeKind):
    """The store gets at most the given numbers of reads and writes a second.

    The numbers are averages over consecutive windows of `window_ms` from
    time 0; calls before `from_ms` do not count.
    """

    reads_per_s: _Positive | None = None
    writes_per_s: _Positive | None = None
    window_ms: _Positive = 1000
    from_ms: _Time = 0

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Count the calls of each window and report each excess once."""
        limits = {'reads': self.reads_per_s, 'writes': self.writes_per_s}
        counts: Counter[tuple[str, int]] = Counter()
        for event in evidence.log.of(ObservationKind.STORE_CALLED):
            if event.time_ms < self.from_ms:
                continue
            group = _GROUP_OF_OPERATION[event.details['operation']]
            limit = limits[group]
            window = (group, event.time_ms // self.window_ms)
            counts[window] += 1
            if limit is None:
                continue
            allowed_count = limit * self.window_ms // 1000
            if counts[window] == allowed_count + 1:
                yield Violation(f'over {limit} {group} a second', event)


@OUTCOME_KINDS.register('share_at_least')
class ShareAtLeast(OutcomeKind):
    """A customer holds at least `fraction` of the cell on average.

    That is the average of its reserved processors from `from_ms` to `to_ms`
    as a fraction of all processors.
    """

    customer: str
    fraction: Annotated[float, Field(ge=0, le=1)]
    from_ms: _Time
    to_ms: _Positive

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Add up the processor time that the customer's runs reserved."""
        total = sum(
            capacity.processors_milli
            for capacity in evidence.capacities.values()
        )
        held = 0
        for run in evidence.runs:
            if evidence.submissions[run.key].who != self.customer:
                continue
            began_ms = max(run.began_ms, self.from_ms)
            ended_ms = min(run.ended_ms, self.to_ms)
            span_ms = max(0, ended_ms - began_ms)
            held += run.reserved.processors_milli * span_ms
        share = held / total / (self.to_ms - self.from_ms)
        if share < self.fraction:
            yield Violation(f'{self.customer} held {share:.3f} of the cell')


@OUTCOME_KINDS.register('count')
class CountOf(OutcomeKind):
    """`at_least` to `at_most` events of a kind have the details in `where`.

    The key `who` of `where` is compared with the event's `who`.
    """

    of: ObservationKind
    where: dict[str, Any] = Field(default_factory=dict)
    from_ms: _Time = 0
    to_ms: _Time | None = None
    at_least: _Count = 0
    at_most: _Count | None = None

    def violations(self, evidence: Evidence) -> Iterator[Violation]:
        """Count the events from `from_ms` to `to_ms`."""
        to_ms = evidence.duration_ms if self.to_ms is None else self.to_ms
        matching = [
            event
            for event in evidence.log.of(self.of)
            if self.from_ms <= event.time_ms <= to_ms
            and self._is_counted(event)
        ]
        text = f'{len(matching)} {self.of.value} where {self.where}'
        if len(matching) < self.at_least:
            yield Violation(f'{text}, at least {self.at_least} expected')
        if self.at_most is not None and len(matching) > self.at_most:
            yield Violation(
                f'{text}, at most {self.at_most} expected',
                matching[self.at_most],
            )

    def _is_counted(self, event: Observation) -> bool:
        details = {**event.details, 'who': event.who}
        return all(
            details.get(name) == wanted for name, wanted in self.where.items()
        )
