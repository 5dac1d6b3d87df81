"""Checks the stated outcomes of a trace against what was seen."""

from dataclasses import dataclass
from typing import Final

from fuchsiarill.replay.evidence import Evidence
from fuchsiarill.replay.kinds import OutcomeKind, Violation
from fuchsiarill.replay.outcomes_safety import NoActorFailed
from fuchsiarill.replay.seen import SeenLog
from fuchsiarill.replay.trace import Stated, Trace

_ALWAYS: Final[Stated[OutcomeKind]] = Stated(
    'no_actor_failed',
    NoActorFailed(),
)


@dataclass(frozen=True, slots=True)
class Unmet:
    """An outcome that does not hold, with everything that contradicts it."""

    outcome: str
    violations: tuple[Violation, ...]


def check(trace: Trace, log: SeenLog) -> list[Unmet]:
    """Return the outcomes that the log contradicts."""
    evidence = Evidence(log, trace.deployment, trace.frame.duration_ms)
    unmet = []
    stated_outcomes = (*trace.outcomes, _ALWAYS)
    for stated in stated_outcomes:
        found = tuple(stated.kind.violations(evidence))
        if found:
            unmet.append(Unmet(stated.name, found))
    return unmet
