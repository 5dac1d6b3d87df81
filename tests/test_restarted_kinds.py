"""Workers that start again under their ids as workers of another kind.

A report tells of the new incarnation; only the directory tells of its labels
and its capacity.
"""

from dataclasses import replace
from typing import Final

from fuchsiarill.graphs.model import BornMs, Label, Step
from fuchsiarill.resources import Resources
from tests.graph_owner import CAPACITY, SIZE, Owner, entry

_LABEL: Final = Label('a')
_OTHER_LABEL: Final = Label('b')
_LABELLED: Final = Step(1, SIZE, required_label=_LABEL)
_SECOND_BORN_MS: Final = 2
_TOO_SMALL: Final = Resources(500, 500)


def _list(
    owner: Owner,
    label: Label,
    born_ms: int,
    capacity: Resources = CAPACITY,
) -> None:
    """Write the directory entry of `w0`."""
    listed = replace(
        entry('w0'),
        labels=(label,),
        born_ms=BornMs(born_ms),
        capacity=capacity,
    )
    owner.core.update_workers([listed], owner.now_ms)


def _owner_of_labelled_worker(born_ms: int = 1) -> Owner:
    owner = Owner('w0')
    _list(owner, _LABEL, born_ms)
    owner.report('w0')
    return owner


def test_labels_of_an_earlier_incarnation_attract_no_start() -> None:
    """Guards against a start on a worker that has lost the required label."""
    owner = _owner_of_labelled_worker()
    owner.report('w0', born_ms=_SECOND_BORN_MS)
    owner.add_job('a', _LABELLED)
    assert not owner.starts()
    _list(owner, _OTHER_LABEL, _SECOND_BORN_MS)
    owner.report('w0', born_ms=_SECOND_BORN_MS)
    assert not owner.starts()


def test_capacity_of_an_earlier_incarnation_attracts_no_start() -> None:
    """Guards against a start that brings a smaller worker over its capacity."""
    owner = _owner_of_labelled_worker()
    owner.report('w0', born_ms=_SECOND_BORN_MS)
    owner.add_job('a', Step(1, SIZE))
    assert not owner.starts()
    _list(owner, _LABEL, _SECOND_BORN_MS, _TOO_SMALL)
    owner.report('w0', born_ms=_SECOND_BORN_MS)
    assert not owner.starts()


def test_entry_of_the_present_incarnation_brings_starts_at_once() -> None:
    """Guards against a restarted worker that stays unused once it is listed."""
    owner = _owner_of_labelled_worker()
    owner.report('w0', born_ms=_SECOND_BORN_MS)
    owner.add_job('a', _LABELLED)
    assert not owner.starts()
    _list(owner, _LABEL, _SECOND_BORN_MS)
    assert [start.worker for start in owner.starts()] == ['w0']


def test_entry_without_an_incarnation_holds_for_any() -> None:
    """Guards against workers that stay unused where no entry names one."""
    owner = _owner_of_labelled_worker(born_ms=0)
    owner.report('w0', born_ms=_SECOND_BORN_MS)
    owner.add_job('a', _LABELLED)
    assert [start.worker for start in owner.starts()] == ['w0']
