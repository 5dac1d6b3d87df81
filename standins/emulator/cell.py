"""State of the emulator: the models and the documents in the store."""

import json
from itertools import chain
from typing import Any, Final

from fuchsiarill.clock import sleep_ms
from fuchsiarill.ids import StoreKey, WorkerId
from fuchsiarill.platform.task_names import task_name
from fuchsiarill.ports.key_value import KvTransaction, KvWrite
from fuchsiarill.resources import Resources
from standins.agent_incarnation import AgentModel
from standins.agent_model import Fleet
from standins.store_model import StoreModel, StorePath

POOL: Final = 'costing'
QUEUE_HOST: Final = 'quotes.example'
QUEUE_PREFIX: Final = '/quotes/'
# Prefix of the queue with an advice policy.
ADVISED_PREFIX: Final = '/appraisals/'
ADVICE_DELAY_MS: Final = 20
# Shorter than many delays of held calls, whose tickets then expire.
TICKET_VALIDITY_MS: Final = 3000
CAPACITY: Final = Resources(8000, 16_000)
# A little lower than what the jobs of one caller of a soak use, so that they
# wait for it and are done in time.
CEILING: Final = Resources(14_000)
_OWNER_KEY: Final = StoreKey(f'control/owner/{POOL}')
_RACK_SIZE: Final = 3
_HEARTBEAT_MS: Final = 500
# The platform removes the entry of a worker after this many missed heartbeats.
_MISSED_MAX_COUNT: Final = 3


class EmulatedCell:
    """Holds the models and writes the documents of workers and operators."""

    def __init__(
        self,
        workers_count: int,
        store_paths_count: int,
        customers_count: int = 0,
    ) -> None:
        """Create the models; `run` adds the workers and their entries."""
        self.store = StoreModel()
        self.fleet = Fleet()
        self.store_paths = [
            StorePath(self.store) for _ in range(store_paths_count)
        ]
        # Keys of the next three are names of faults, so that overlapping
        # faults end on their own; workers are named by their addresses.
        self.silent_workers: dict[str, list[str]] = {}
        self.unlisted_workers: dict[str, list[str]] = {}
        self.delays_ms: dict[str, dict[str, int]] = {}
        self._workers_count = workers_count
        self._customers = customer_names(customers_count)
        self.fleet.ceilings = dict.fromkeys(self._customers, CEILING)
        self._heartbeats_count = 0
        # Heartbeat in which each listed worker has written its entry last.
        self._written_in: dict[WorkerId, int] = {}
        # The process that owned the pool in each epoch.
        self._owners: dict[int, str] = {}

    async def run(self, address: str) -> None:
        """Write the configuration, then the workers' entries periodically.

        All workers share `address`; a header of each call names the worker.
        """
        self._put('op/config', _configuration(self._customers))
        for number in range(self._workers_count):
            self.fleet.add(f'w{number}', CAPACITY)
        while True:
            self._heartbeats_count += 1
            unlisted = set(chain.from_iterable(self.unlisted_workers.values()))
            for number, agent in enumerate(self.fleet.agents.values()):
                if agent.outage is None and agent.address not in unlisted:
                    self._write_worker_entry(agent, number, address)
            self._remove_silent_entries()
            self.note_owner()
            await sleep_ms(_HEARTBEAT_MS)

    def restart(self, name: str) -> None:
        """Replace a worker by a new incarnation, which runs nothing."""
        self.fleet.add(name, CAPACITY)

    def note_owner(self) -> None:
        """Record the epoch of the current owner, the revision of its key."""
        item = self.store.items.get(_OWNER_KEY)
        if item is not None and item.value is not None:
            owner = json.loads(item.value)
            self._owners[item.revision] = owner['process']

    def observations(self) -> dict[str, Any]:
        """Return what the workers have seen, and the current owner."""
        owner = self.store.items.get(_OWNER_KEY)
        crashes = self.fleet.crashes
        return {
            'violations': self.fleet.violations,
            'started_jobs': sorted(
                {task.job for task, _, _ in self.fleet.starts},
            ),
            'owner': owner and owner.value and json.loads(owner.value),
            'deadly_starts': [
                {
                    'task': task_name(start.task),
                    'process': self._owners.get(start.epoch),
                    'at_ms': start.at_ms,
                }
                for start in crashes.starts
            ],
            'crashes': [
                {'task': task_name(crash.task), 'at_ms': crash.at_ms}
                for crash in crashes.crashes
            ],
            'late_overloads': [
                {
                    'worker': overload.worker,
                    'process': self._owners.get(overload.epoch),
                    'shrunk_ms': overload.shrunk_ms,
                    'at_ms': overload.at_ms,
                }
                for overload in self.fleet.late_overloads
            ],
        }

    def _remove_silent_entries(self) -> None:
        for worker, written_in in list(self._written_in.items()):
            if self._heartbeats_count - written_in >= _MISSED_MAX_COUNT:
                key = StoreKey(f'servers/{worker}')
                self.store.apply(KvTransaction(deletes=(key,)))
                self._written_in.pop(worker)

    def _put(self, key: str, document: object) -> None:
        content = json.dumps(document).encode()
        self.store.write(KvWrite(StoreKey(key), content))

    def _write_worker_entry(
        self, agent: AgentModel, number: int, address: str
    ) -> None:
        self._written_in[agent.worker] = self._heartbeats_count
        capacity = agent.capacity.current
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
                    'cpu': capacity.processors_milli,
                    'mem_mb': capacity.memory_mb,
                    'gpu': capacity.accelerators_count,
                },
                'labels': ['a', f'r{number // _RACK_SIZE}'],
                'seq_no': self._heartbeats_count,
                'born': agent.born_ms,
            },
        )


def customer_names(count: int) -> tuple[str, ...]:
    """Return the names of a number of customers."""
    return tuple(f'c{number}' for number in range(count))


def key_of(customer: str) -> str:
    """Return the API key of a customer of the emulator."""
    return f'key-of-{customer}'


def _configuration(customers: tuple[str, ...]) -> dict[str, Any]:
    return {
        'tenants': [
            {
                'name': customer,
                'api_keys': [key_of(customer)],
                'weight': 10,
                'max_count': {'cpu': CEILING.processors_milli},
            }
            for customer in customers
        ],
        'version': 1,
        'services': [{'name': POOL, 'rejects_overload': False}],
        'routes': [
            _route('quotes', QUEUE_PREFIX),
            _route('appraisals', ADVISED_PREFIX)
            | {
                'advice': {
                    'decision_ms': ADVICE_DELAY_MS,
                    'interval_ms': 0,
                    'validity_ms': TICKET_VALIDITY_MS,
                },
            },
        ],
        'limits': {},
    }


def _route(name: str, prefix: str) -> dict[str, Any]:
    return {
        'name': name,
        'host': QUEUE_HOST,
        'prefix': prefix,
        'service': POOL,
        'timeout_ms': 3000,
        'priority': 0,
        'max_attempts': 4,
        'slack_factor': 2,
        'target_runtime_ms': 500,
    }
