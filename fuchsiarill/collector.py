"""Settings of the cyclic garbage collector for a long-lived process."""

import gc
from typing import Final

# With the defaults (700, 10, 10) the collector ran every few decisions and
# took a third of their time; reference counts free nearly all objects.
_YOUNG_COUNT: Final = 50_000
_MIDDLE_COUNT: Final = 20
_OLD_COUNT: Final = 100


def collect_seldom() -> None:
    """Let the collector run far less often than by default."""
    gc.set_threshold(_YOUNG_COUNT, _MIDDLE_COUNT, _OLD_COUNT)
