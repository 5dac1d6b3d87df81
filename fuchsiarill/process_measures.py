"""Computes measures for metrics, and rows of the host list for operators."""

from collections.abc import Iterable, Sequence
from itertools import zip_longest
from typing import Any

from fuchsiarill.ids import WorkerId
from fuchsiarill.process_messages import Measures
from fuchsiarill.workers import HostEntry


def sum_measures(actor_states: Iterable[dict[str, Any]]) -> Measures:
    """Add up the measures in the state dumps of all actors.

    Mailboxes of actors of one kind, whose names share their first word, are
    counted together.
    """
    measures = Measures()
    for actor_state in actor_states:
        kind = actor_state['actor'].split()[0]
        measures.mailbox_counts[kind] += actor_state['mailbox_count']
        generation = actor_state.get('generation', 0)
        measures.generation = max(measures.generation, generation)
        owner = actor_state.get('owner')
        if owner is not None:
            _add_owner_measures(measures, owner)
    return measures


def _add_owner_measures(measures: Measures, owner: dict[str, Any]) -> None:
    measures.owned_partitions_count += 1
    measures.mailbox_counts['owner'] += owner['mailbox_count']
    for account in owner['core']['accounts']:
        measures.queued_counts[account['customer']] += account['waiting']
    decision_times = owner['decision_times']
    measures.decisions_ms += decision_times['sum_ms']
    measures.decision_counts = tuple(
        map(
            sum,
            zip_longest(
                measures.decision_counts, decision_times['counts'], fillvalue=0
            ),
        ),
    )


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
