"""Writes and reads the record of the learned run times of a pool."""

import time
from typing import Final

from returns.result import Failure

from fuchsiarill import events, graph_events
from fuchsiarill.graphs import keys
from fuchsiarill.graphs.state import PoolState
from fuchsiarill.ids import StoreKey
from fuchsiarill.ports.key_value import KvItem
from fuchsiarill.run_times.snapshot import decode_run_times, encode_run_times

_WRITE_INTERVAL_MS: Final = 5000
_NS_PER_MS: Final = 1_000_000


def unix_ms() -> int:
    """Return the present Unix time."""
    return time.time_ns() // _NS_PER_MS


def restore_run_times(
    state: PoolState, snapshot: KvItem | None, now_ms: int
) -> None:
    """Use the run times that an earlier owner has learned, if readable."""
    if snapshot is None or snapshot.value is None:
        return
    decoded = decode_run_times(snapshot.value, now_ms, unix_ms())
    if isinstance(decoded, Failure):
        events.emit(
            graph_events.RUN_TIMES_UNUSABLE,
            pool=state.pool,
            problem=decoded.failure(),
        )
        return
    state.run_times = decoded.unwrap()


class RunTimeSnapshots:
    """Decides when the learned run times are written."""

    def __init__(self, state: PoolState, now_ms: int) -> None:
        """Take the present run times of `state` as written."""
        self._state = state
        self._written_ms = now_ms
        self._written_revision = state.run_times.revision

    def take_due(self, now_ms: int) -> dict[StoreKey, bytes]:
        """Return the record if it has changed and the interval has passed."""
        run_times = self._state.run_times
        if run_times.revision == self._written_revision:
            return {}
        if now_ms - self._written_ms < _WRITE_INTERVAL_MS:
            return {}
        self._written_ms = now_ms
        self._written_revision = run_times.revision
        key = keys.run_times_key(self._state.pool)
        return {key: encode_run_times(run_times, now_ms, unix_ms())}
