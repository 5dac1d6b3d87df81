"""Real daemons on the emulated platform."""

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
    """Guards against jobs that are lost or run twice in real processes."""
    ended = subprocess.run(
        [sys.executable, '-m', module, *options],
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    assert ended.returncode == 0, ended.stdout + ended.stderr
