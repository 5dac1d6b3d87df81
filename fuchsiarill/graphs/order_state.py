"""What the order of the waiting steps of a pool depends on beside the steps."""

from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiarill.graphs.model import QueueId, Step
from fuchsiarill.ids import CustomerId
from fuchsiarill.resources import NO_RESOURCES, Resources


class WorkKind(NamedTuple):
    """Queue, customer and size class of tasks; none of these may starve."""

    queue: QueueId
    customer: CustomerId | None
    # Sizes in one class differ by less than two times.
    size_class: int


@dataclass(slots=True)
class OrderState:
    """Result of the last survey of the waiting steps, and the last starts."""

    # The most urgent priority of a short late step that waits, `None` without
    # one.
    late_priority: int | None = None
    # Last start of a unit of each kind that was waiting at the last survey.
    served_ms: dict[WorkKind, int] = field(default_factory=dict)
    # Until when no room can be made for tasks, by the priority of the queue and
    # the charge.
    no_room_until_ms: dict[tuple[int, Resources], int] = field(
        default_factory=dict
    )
    # Capacity of the listed workers, and the sum of the weights of the
    # customers with waiting steps or runs; 0 without contracts.
    total_capacity: Resources = NO_RESOURCES
    weights_sum: float = 0
    # Customers that use more than their share, as of the present round.
    over_share: frozenset[CustomerId] = frozenset()
    # Customers whose guaranteed work waits for room while excess work waits; at
    # most two of them.
    wanting_room: frozenset[CustomerId | None] = frozenset()


def kind_of(
    queue: QueueId, customer: CustomerId | None, step: Step
) -> WorkKind:
    """Return the kind of the tasks of a step."""
    size_class = step.size.processors_milli.bit_length()
    if step.size.accelerators_count:
        size_class = -step.size.accelerators_count.bit_length()
    return WorkKind(queue, customer, size_class)
