"""Writes docs/ERRORS.md and docs/EVENTS.md from their registries.

With `--check` nothing is written: the exit status tells whether a page is
stale, which fails CI.
"""

import argparse
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Final

from fuchsiarill import events, graph_events
from fuchsiarill.codes import all_codes
from fuchsiarill.registry import Registry

DOCS: Final = Path(__file__).parent.parent / 'docs'

# Their import registers the events.
_EVENT_MODULES: Final = (events, graph_events)
PAGES: Final[Registry[str, Callable[[], str]]] = Registry('generated pages')


@PAGES.register('ERRORS.md')
def errors_page() -> str:
    """Return the table of result codes."""
    lines = [
        '# Result codes',
        '',
        'Written by `make docs` from `fuchsiarill/codes.py`.',
        '',
        '| number | name | HTTP status | exit status | retry | meaning |',
        '|---|---|---|---|---|---|',
    ]
    for code in all_codes():
        cells = (
            str(code.number),
            f'`{code.name}`',
            str(code.http_status.value),
            str(code.exit_status.value),
            code.retry.value,
            code.meaning,
        )
        lines.append(f'| {" | ".join(cells)} |')
    return _page(lines)


@PAGES.register('EVENTS.md')
def events_page() -> str:
    """Return the catalogue of log events."""
    sources = ' and '.join(f'`{module.__name__}`' for module in _EVENT_MODULES)
    lines = [
        '# Log events',
        '',
        f'Written by `make docs` from {sources}. A JSON log line',
        'has the number in `record.extra.event` and each field beside it.',
        '',
        '| number | level | text | what to do |',
        '|---|---|---|---|',
    ]
    for event in events.all_events():
        cells = (
            str(event.number),
            event.level.value,
            f'`{event.template}`',
            event.advice,
        )
        lines.append(f'| {" | ".join(cells)} |')
    return _page(lines)


def main() -> int:
    """Write or check every page; returns the exit status."""
    parser = argparse.ArgumentParser(prog='tools.write_docs')
    parser.add_argument('--check', action='store_true')
    options = parser.parse_args()
    stale = []
    for name in PAGES:
        path = DOCS / name
        text = PAGES.lookup(name)()
        if options.check:
            if not path.exists() or path.read_text() != text:
                stale.append(name)
            continue
        path.write_text(text)
    for name in stale:
        print(f'docs/{name} is stale: run make docs')
    return 1 if stale else 0


def _page(lines: list[str]) -> str:
    return '\n'.join((*lines, ''))


if __name__ == '__main__':
    sys.exit(main())
