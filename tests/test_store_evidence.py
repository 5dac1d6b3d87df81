"""Renewals beyond the ownership deadline need evidence of an outage."""

from pathlib import Path
from typing import Any

import pytest
import yaml

from fuchsiarill.cluster.member_table import Beat, Member, MemberDetail
from fuchsiarill.cluster.store_evidence import StoreEvidence
from fuchsiarill.ids import FailureDomain, Generation, ProcessId, RegionId

_CASES = yaml.safe_load(
    Path(__file__)
    .with_name('cases')
    .joinpath('store_evidence.yaml')
    .read_text(),
)


def _member(process: str, domain: str, *, is_down: bool = False) -> Member:
    detail = MemberDetail(
        ProcessId(process),
        RegionId('lab'),
        FailureDomain(domain),
        address=process,
        incarnation=1,
    )
    return Member(detail, Beat(detail.key, 1, Generation(1), 0, is_down), 0)


@pytest.mark.parametrize('case', _CASES, ids=lambda case: case['name'])
def test_evidence_of_an_outage(case: dict[str, Any]) -> None:
    """Guards against renewals by an owner whose own link has failed."""
    own = _member('p1', 'north')
    evidence = StoreEvidence()
    for process, domain, requested_at_ms, is_down in case['answers']:
        others = (own, _member(process, domain, is_down=is_down))
        evidence.record_answer(own, others, (process, requested_at_ms))
    assert evidence.outage_until_ms() == case['until_ms']
