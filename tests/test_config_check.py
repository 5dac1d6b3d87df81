"""Checks of configurations before they are put in force."""

import json
from pathlib import Path
from typing import Any

import pytest

from fuchsiarill.codes import ExitStatus
from fuchsiarill.commands import main as command_line
from fuchsiarill.graphs.ports import DocumentError
from fuchsiarill.platform.config_check import find_changes, find_problems

_KEY = 'k-0123456789'
_EXAMPLE = Path('examples/frostwick.yaml')


def _route(name: str, prefix: str, **changes: Any) -> dict[str, Any]:
    return {
        'name': name,
        'host': 'jobs.example',
        'prefix': prefix,
        'service': 'costing',
        'target_runtime_ms': 500,
        **changes,
    }


def _document(**changes: Any) -> dict[str, Any]:
    return {
        'version': 1,
        'routes': [_route('quotes', '/q/'), _route('bulk', '/q/b/')],
        'services': [{'name': 'costing'}],
        'tenants': [{'name': 'a', 'api_keys': [_KEY]}],
        **changes,
    }


def _encode(document: dict[str, Any]) -> bytes:
    return json.dumps(document).encode()


def test_consistent_document_has_no_findings() -> None:
    """Guards against findings that operators learn to ignore.

    A prefix below another one is no shadowed route: the longest one matches.
    """
    assert not find_problems(_encode(_document()))


@pytest.mark.parametrize(
    ('changes', 'finding'),
    [
        (
            {'routes': [_route('quotes', '/q/'), _route('late', '/q/')]},
            'routes.late: never matches: quotes has',
        ),
        ({'routes': [_route('quotes', 'q')]}, 'routes.quotes: never matches'),
        (
            {'routes': [_route('quotes', '/q/'), _route('quotes', '/r/')]},
            'routes.quotes: 2 rows have this name',
        ),
        (
            {'services': [{'name': 'other'}]},
            'routes.quotes: costing is not declared',
        ),
        ({'limits': {'max_body_bytes': 0}}, 'limits: a limit of 0 bytes'),
        (
            {'routes': [_route('quotes', '/q/', max_attempts=0)]},
            'routes.quotes: without an attempt',
        ),
        (
            {
                'routes': [
                    _route(
                        'quotes',
                        '/q/',
                        advice={
                            'decision_ms': 50,
                            'interval_ms': 1,
                            'validity_ms': 40,
                        },
                    )
                ]
            },
            'routes.quotes: advice expires',
        ),
        (
            {
                'tenants': [
                    {'name': 'a', 'api_keys': [_KEY]},
                    {'name': 'b', 'api_keys': [_KEY]},
                ]
            },
            'tenants.b: a has one of the keys too',
        ),
        ({'tenants': [{'name': 'a'}]}, 'tenants.a: without a key'),
    ],
)
def test_contradiction_is_found(changes: dict[str, Any], finding: str) -> None:
    """Guards against a document whose fault shows only in operation."""
    findings = find_problems(_encode(_document(**changes)))
    assert any(line.startswith(finding) for line in findings), findings
    assert _KEY not in str(findings)


def test_changes_that_callers_notice_are_listed() -> None:
    """Guards against a new version that surprises callers."""
    before = _document(
        routes=[_route('quotes', '/q/', public=True), _route('bulk', '/b/')]
    )
    after = _document(
        routes=[_route('quotes', '/q/', timeout_ms=900)],
        tenants=[{'name': 'a', 'api_keys': ['k-new'], 'max_count': {'cpu': 9}}],
    )
    assert find_changes(_encode(before), _encode(after)) == [
        'routes.quotes: needs a key from now on: calls without one get 401',
        'routes.quotes: answers arrive within: 60000 ms becomes 900 ms',
        'routes.bulk: removed: submissions get 404, accepted jobs still run',
        'tenants.a: keys withdrawn, which get 401: 1',
        'tenants.a: keys added: 1',
        'tenants.a: ceiling: (0, 0, 0, 0) becomes (9, 0, 0, 0)',
    ]


def test_error_does_not_contain_a_key() -> None:
    """Guards against a key in a log, where it is a number by mistake."""
    tenants = [{'name': 'a', 'api_keys': [1234567]}]
    with pytest.raises(DocumentError) as error:
        find_problems(_encode(_document(tenants=tenants)))
    assert '1234567' not in str(error.value)


@pytest.mark.parametrize(
    ('changes', 'status', 'output'),
    [
        ({}, ExitStatus.SUCCESS, ''),
        ({'services': []}, ExitStatus.UNMET, 'costing is not declared'),
        ({'version': 'x'}, ExitStatus.BAD_REQUEST, ''),
    ],
)
def test_command_checks_a_platform_document(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    changes: dict[str, Any],
    status: ExitStatus,
    output: str,
) -> None:
    """Guards against a wrong exit status in the scripts of operators."""
    path = tmp_path / 'config.json'
    path.write_bytes(_encode(_document(**changes)))
    assert command_line.main(['config', 'check', str(path)]) is status
    assert output in capsys.readouterr().out


def test_command_lists_changes_of_a_cell(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a change of a quota that nobody is told of."""
    text = _EXAMPLE.read_text()
    path = tmp_path / 'earlier.yaml'
    path.write_text(text.replace('weight: ', 'weight: 1', 1))
    words = ['config', 'check', str(_EXAMPLE), '--against', str(path)]
    assert command_line.main(words) is ExitStatus.SUCCESS
    assert 'weight' in capsys.readouterr().out
