"""Checks a configuration of the platform and compares it with another one.

Names parts in the words of the platform's document.
"""

import json
from collections import Counter
from collections.abc import Iterator
from typing import Any, Final

from fuchsiarill.graphs.config_rules import (
    ConfigPart,
    Remark,
    changes_between,
    find_contradictions,
)
from fuchsiarill.platform.documents import read_config

_LIST_BY_PART: Final = {
    ConfigPart.QUEUE: 'routes',
    ConfigPart.POOL: 'services',
    ConfigPart.CUSTOMER: 'tenants',
    ConfigPart.LIMITS: 'limits',
}
_LISTS: Final = ('routes', 'services', 'tenants')


def is_platform_document(document: object) -> bool:
    """Tell whether a parsed document is a configuration of the platform."""
    return isinstance(document, dict) and 'routes' in document


def find_problems(content: bytes) -> list[str]:
    """Return the findings about a document; may raise `DocumentError`."""
    config = read_config(content)
    remarks = map(_sentence, find_contradictions(config))
    return [*_repeated_names(json.loads(content)), *remarks]


def find_changes(before: bytes, after: bytes) -> list[str]:
    """Return what callers notice; may raise `DocumentError`."""
    changes = changes_between(read_config(before), read_config(after))
    return [_sentence(remark) for remark in changes]


def _sentence(remark: Remark) -> str:
    location = _LIST_BY_PART[remark.part]
    if remark.name:
        location = f'{location}.{remark.name}'
    return f'{location}: {remark.text}'


def _repeated_names(document: dict[str, Any]) -> Iterator[str]:
    """Find rows that hide others of the same name."""
    for name in _LISTS:
        counts = Counter(row['name'] for row in document.get(name, ()))
        for row_name, count in counts.items():
            if count > 1:
                yield f'{name}.{row_name}: {count} rows have this name'
