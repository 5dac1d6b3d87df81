"""Stand-in for the platform's host list, which shows changes after a delay.

Controls: `lag_ms` is the delay until a change is visible, `states` sets
workers to `live` or `leaving`, `remove` removes workers, `entries` replaces
the list.
"""

import argparse
import asyncio
from dataclasses import replace
from pathlib import Path
from typing import Any, Final

from fuchsiarill.clock import now_ms
from fuchsiarill.ids import WorkerId
from fuchsiarill.ports.http_ports import HOST_ENTRIES
from fuchsiarill.registry import Registry
from fuchsiarill.workers import HostEntry, HostState
from standins.http_server import serve_until_stopped
from standins.stand_in import Call, Control, Route, StandIn, StandInReply

_Entries = tuple[HostEntry, ...]

ROUTES: Final[Registry[str, Route]] = Registry('host list routes')
CONTROLS: Final[Registry[str, Control]] = Registry('host list controls')


class HostListStandIn(StandIn):
    """Keeps the versions of the list with the time of each change."""

    routes = ROUTES
    controls = CONTROLS

    def __init__(self, entries: _Entries, lag_ms: int) -> None:
        """Start with a list that is visible immediately."""
        super().__init__('host list stand-in')
        self.lag_ms = lag_ms
        self._versions: list[tuple[int, _Entries]] = [(-lag_ms, entries)]

    @property
    def latest(self) -> _Entries:
        """Return the newest version, even if it is not visible yet."""
        return self._versions[-1][1]

    def snapshot(self) -> dict[str, Any]:
        """Add the lag and the newest version of the list."""
        return super().snapshot() | {
            'lag_ms': self.lag_ms,
            'workers': {
                entry.worker_id: entry.state.value for entry in self.latest
            },
        }

    def replace_entries(self, entries: _Entries) -> None:
        """Replace the list; the new version is visible after the lag."""
        self._versions.append((now_ms(), entries))

    def visible(self) -> _Entries:
        """Return the newest version that is at least as old as the lag.

        Drops the versions older than the returned one.
        """
        visible_before_ms = now_ms() - self.lag_ms
        while (
            len(self._versions) > 1
            and self._versions[1][0] <= visible_before_ms
        ):
            self._versions.pop(0)
        return self._versions[0][1]


@ROUTES.register('/v1/hosts')
def _hosts(hosts: HostListStandIn, call: Call) -> StandInReply:
    return StandInReply(200, HOST_ENTRIES.dump_json(hosts.visible()))


@CONTROLS.register('lag_ms')
def _set_lag(hosts: HostListStandIn, lag_ms: int) -> None:
    hosts.lag_ms = lag_ms


@CONTROLS.register('states')
def _set_states(hosts: HostListStandIn, states: dict[str, str]) -> None:
    hosts.replace_entries(
        tuple(
            replace(
                entry,
                state=HostState(
                    states.get(entry.worker_id, entry.state.value),
                ),
            )
            for entry in hosts.latest
        ),
    )


@CONTROLS.register('remove')
def _remove(hosts: HostListStandIn, workers: list[WorkerId]) -> None:
    hosts.replace_entries(
        tuple(
            entry for entry in hosts.latest if entry.worker_id not in workers
        ),
    )


@CONTROLS.register('entries')
def _set_entries(hosts: HostListStandIn, entries: list[Any]) -> None:
    hosts.replace_entries(HOST_ENTRIES.validate_python(entries))


async def _main(port: int, entries: _Entries, lag_ms: int) -> None:
    hosts = HostListStandIn(entries, lag_ms)
    await serve_until_stopped([(hosts, port)])


def main() -> None:
    """Serve the host entries of a JSON file until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog='standins.host_list')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--hosts', type=Path, required=True)
    parser.add_argument('--lag-ms', type=int, default=0)
    options = parser.parse_args()
    entries = HOST_ENTRIES.validate_json(options.hosts.read_bytes())
    asyncio.run(_main(options.port, entries, options.lag_ms))


if __name__ == '__main__':
    main()
