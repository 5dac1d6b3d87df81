"""Runs a module that ends with the process that launched it.

A launcher that is killed can't end its processes. Each of them looks for its
launcher, and ends when another process has become its parent.
"""

import os
import runpy
import signal
import sys
import threading
import time
from typing import Final

_CHECK_S: Final = 0.5
# Time for an end by SIGTERM, as launchers give it.
_GRACE_S: Final = 10


def main() -> None:
    """Run `MODULE OPTIONS...` for the launcher with the id that is given."""
    launcher, module, *options = sys.argv[1:]
    watching = threading.Thread(
        target=_end_with,
        args=(int(launcher),),
        daemon=True,
    )
    watching.start()
    sys.argv = [module, *options]
    runpy.run_module(module, run_name='__main__', alter_sys=True)


def _end_with(launcher: int) -> None:
    while os.getppid() == launcher:
        time.sleep(_CHECK_S)
    os.kill(os.getpid(), signal.SIGTERM)
    time.sleep(_GRACE_S)
    os.kill(os.getpid(), signal.SIGKILL)


if __name__ == '__main__':
    main()
