"""Conversion between gossip, documents and their capnp form."""

from typing import Any

from fuchsiarill.cluster.config_document import ConfigDocument
from fuchsiarill.cluster.member_table import Beat, Gossip, MemberDetail
from fuchsiarill.ids import (
    FailureDomain,
    Generation,
    PartitionId,
    ProcessId,
    RegionId,
)
from fuchsiarill.states import ProcessState


def gossip_fields(message: Gossip) -> dict[str, Any]:
    """Return a gossip message as fields of the schema."""
    return {
        'beats': [
            {
                'key': beat.key,
                'heartbeat': beat.heartbeat,
                'generation': beat.generation,
                'loadPermille': beat.load_permille,
                'storeIsDown': beat.store_is_down,
            }
            for beat in message.beats
        ],
        'details': [_detail_fields(detail) for detail in message.details],
        'wanted': list(message.wanted),
    }


def read_gossip(encoded: Any) -> Gossip:
    """Decode the struct of a gossip message."""
    return Gossip(
        beats=tuple(
            Beat(
                beat.key,
                beat.heartbeat,
                Generation(beat.generation),
                beat.loadPermille,
                beat.storeIsDown,
            )
            for beat in encoded.beats
        ),
        details=tuple(_read_detail(detail) for detail in encoded.details),
        wanted=tuple(encoded.wanted),
    )


def document_fields(document: ConfigDocument) -> dict[str, Any]:
    """Return a configuration document as fields of the schema."""
    return {
        'generation': document.generation,
        'author': document.author,
        'text': document.text,
        'tokens': list(document.tokens),
    }


def read_document_struct(encoded: Any) -> ConfigDocument:
    """Decode the struct of a configuration document."""
    return ConfigDocument(
        generation=Generation(encoded.generation),
        author=encoded.author,
        text=encoded.text,
        tokens=tuple(encoded.tokens),
    )


def _detail_fields(detail: MemberDetail) -> dict[str, Any]:
    return {
        'process': detail.process,
        'region': detail.region,
        'failureDomain': detail.failure_domain,
        'address': detail.address,
        'incarnation': detail.incarnation,
        'version': detail.version,
        'state': detail.state.value,
        'partitions': list(detail.partitions),
    }


def _read_detail(encoded: Any) -> MemberDetail:
    return MemberDetail(
        process=ProcessId(encoded.process),
        region=RegionId(encoded.region),
        failure_domain=FailureDomain(encoded.failureDomain),
        address=encoded.address,
        incarnation=encoded.incarnation,
        version=encoded.version,
        state=ProcessState(encoded.state),
        partitions=tuple(map(PartitionId, encoded.partitions)),
    )
