"""What metrics and operators read from dumped state."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any, Final

from fuchsiarill.ids import WorkerId
from fuchsiarill.process_messages import Measures
from fuchsiarill.workers import HostEntry

_QUEUED_FIELD: Final = 'waiting'


def measures_of(dumped: Iterable[dict[str, Any]]) -> Measures:
    """Return the measures in the snapshots of all actors.

    Actors of one kind, whose names share their first word, count together.
    """
    generation = 0
    owned_count = 0
    mailboxes: Counter[str] = Counter()
    queued: Counter[str] = Counter()
    for state in dumped:
        kind = state['actor'].split()[0]
        mailboxes[kind] += state['mailbox_count']
        generation = max(generation, state.get('generation', 0))
        owner = state.get('owner')
        if owner is None:
            continue
        owned_count += 1
        mailboxes['owner'] += owner['mailbox_count']
        for account in owner.get('core', {}).get('accounts', ()):
            queued[account['customer']] += account.get(_QUEUED_FIELD, 0)
    return Measures(generation, owned_count, dict(mailboxes), dict(queued))


def host_rows(
    entries: Iterable[HostEntry],
    draining: Sequence[WorkerId],
) -> list[dict[str, Any]]:
    """Return the host list as rows for operators."""
    return [
        {
            'worker': entry.worker_id,
            'address': entry.address,
            'region': entry.region,
            'failure_domain': entry.failure_domain,
            'rack': entry.rack,
            'state': entry.state.value,
            'draining': entry.worker_id in draining,
            'processors_milli': entry.capacity.processors_milli,
            'memory_mb': entry.capacity.memory_mb,
            'accelerators_count': entry.capacity.accelerators_count,
            'slots_count': entry.capacity.slots_count,
        }
        for entry in entries
    ]
