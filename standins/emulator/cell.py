"""State of the emulator: the models and the documents in the store."""

import json
from typing import Any, Final

from fuchsiarill.clock import sleep_ms
from fuchsiarill.ids import StoreKey
from fuchsiarill.ports.key_value import KvWrite
from fuchsiarill.resources import Resources
from standins.agent_model import AgentModel, Fleet
from standins.store_model import StoreModel, StorePath

POOL: Final = 'costing'
QUEUE_HOST: Final = 'quotes.example'
QUEUE_PREFIX: Final = '/quotes/'
CAPACITY: Final = Resources(8000, 16_000)
_RACK_SIZE: Final = 3
_HEARTBEAT_MS: Final = 500


class EmulatedCell:
    """Holds the models and writes the documents of workers and operators."""

    def __init__(self, workers_count: int, store_paths_count: int) -> None:
        """Create the models; `run` adds the workers and their entries."""
        self.store = StoreModel()
        self.fleet = Fleet()
        self.store_paths = [
            StorePath(self.store) for _ in range(store_paths_count)
        ]
        self._workers_count = workers_count
        self._heartbeats_count = 0

    async def run(self, address: str) -> None:
        """Write the configuration, then the workers' entries periodically.

        All workers share `address`; a header of each call names the worker.
        """
        self._put('op/config', _configuration())
        for number in range(self._workers_count):
            self.fleet.add(f'w{number}', CAPACITY)
        while True:
            self._heartbeats_count += 1
            for number, agent in enumerate(self.fleet.agents.values()):
                self._write_worker_entry(agent, number, address)
            await sleep_ms(_HEARTBEAT_MS)

    def restart(self, name: str) -> None:
        """Replace a worker by a new incarnation, which runs nothing."""
        self.fleet.add(name, CAPACITY)

    def observations(self) -> dict[str, Any]:
        """Return the violations, the started jobs and the current owner."""
        owner = self.store.items.get(StoreKey(f'control/owner/{POOL}'))
        return {
            'violations': self.fleet.violations,
            'started_jobs': sorted(
                {task.job for task, _, _ in self.fleet.starts},
            ),
            'owner': owner and owner.value and json.loads(owner.value),
        }

    def _put(self, key: str, document: object) -> None:
        content = json.dumps(document).encode()
        self.store.write(KvWrite(StoreKey(key), content))

    def _write_worker_entry(
        self, agent: AgentModel, number: int, address: str
    ) -> None:
        self._put(
            f'servers/{agent.worker}',
            {
                'service': POOL,
                'addr': address,
                'zone': f'zone-{number % 2}',
                'version': 'v1',
                'slots': 8,
                'state': 'ready',
                'cold_left_ms': 0,
                'capacity': {
                    'cpu': CAPACITY.processors_milli,
                    'mem_mb': CAPACITY.memory_mb,
                    'gpu': 0,
                },
                'labels': ['a', f'r{number // _RACK_SIZE}'],
                'seq_no': self._heartbeats_count,
                'born': agent.born_ms,
            },
        )


def _configuration() -> dict[str, Any]:
    return {
        'version': 1,
        'services': [{'name': POOL, 'rejects_overload': False}],
        'routes': [
            {
                'name': 'quotes',
                'host': QUEUE_HOST,
                'prefix': QUEUE_PREFIX,
                'service': POOL,
                'timeout_ms': 3000,
                'priority': 0,
                'max_attempts': 4,
                'slack_factor': 2,
                'target_runtime_ms': 500,
            },
        ],
        'limits': {},
    }
