"""Demo and soak with real daemons on the emulated platform."""

import subprocess
import sys

import pytest


@pytest.mark.parametrize(
    ('module', 'options'),
    [
        ('tools.platform_demo', ()),
        ('tools.soak', ('--seed', '1', '--minutes', '0.2')),
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
