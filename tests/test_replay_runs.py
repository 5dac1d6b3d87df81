"""Replays are repeatable, and an unmet outcome names the violating event."""

from fuchsiarill.replay.runner import replay
from fuchsiarill.replay.trace import Trace, parse_trace

_STREAM_WITH_KILL = """
about: a stream with a fault
duration_ms: 12000
seed: 5
events:
  - at_ms: 500
    stream: {prefix: s, customer: desk, rate_per_s: 20, count: 60}
faults:
  - at_ms: 2000
    for_ms: 3000
    kill: {process: owner}
outcomes:
  - all_finished: {by_ms: 12000}
  - all_finished: {by_ms: 1000}
"""


def _trace(text: str) -> Trace:
    return parse_trace('test.yaml', text).unwrap()


def test_same_trace_gives_same_log() -> None:
    """Guards against a replay that is not determined by its seed."""
    logs = [replay(_trace(_STREAM_WITH_KILL)).log for _ in range(2)]
    assert logs[0].entries == logs[1].entries


def test_other_seed_gives_other_log() -> None:
    """Guards against a seed that is read but not used."""
    other = _trace(_STREAM_WITH_KILL.replace('seed: 5', 'seed: 6'))
    assert (
        replay(_trace(_STREAM_WITH_KILL)).log.digest()
        != replay(other).log.digest()
    )


def test_unmet_outcome_names_the_event() -> None:
    """Guards against an unmet outcome that does not show its event."""
    unmet = replay(_trace(_STREAM_WITH_KILL)).unmet
    late = [found for found in unmet if found.outcome == 'all_finished']
    assert late
    event = late[-1].violations[-1].event
    assert event is not None
    assert event.details['key'] == 's-60'
