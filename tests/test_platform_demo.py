"""Demo and soak with real daemons on the emulated platform."""

import subprocess
import sys
from typing import Final

import pytest

# One series: two workers restart under their ids, the owner is killed 0.1 s
# before they are cut off, and the cut outlasts their leases.
_INCARNATIONS: Final = (
    '--seed=7',
    '--minutes=0.25',
    '--interval=1000',
    '--deadly-every=0',
    '--faults',
    'return_and_cut',
)


@pytest.mark.parametrize(
    ('module', 'options'),
    [
        ('tools.platform_demo', ()),
        ('tools.soak', ('--seed', '1', '--minutes', '0.2')),
        ('tools.soak', _INCARNATIONS),
    ],
)
def test_nothing_is_lost(module: str, options: tuple[str, ...]) -> None:
    """Guards against jobs lost or run twice when daemons and workers fail."""
    ended = subprocess.run(
        [sys.executable, '-m', module, *options],
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    assert ended.returncode == 0, ended.stdout + ended.stderr
