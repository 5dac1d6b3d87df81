"""Runs a module that ends with the process that launched it.

A launcher that is killed can't end its processes. Therefore each process polls
the id of its parent, and ends when its parent is no longer the launcher.
"""

import os
import runpy
import signal
import sys
import threading
import time
from typing import Final

_CHECK_INTERVAL_S: Final = 0.5
# Time from SIGTERM to SIGKILL, the same as in `tools/processes.py`.
_STOP_TIMEOUT_S: Final = 10


def main() -> None:
    """Run `MODULE OPTIONS...`; the first argument is the launcher's id."""
    launcher, module, *options = sys.argv[1:]
    watcher = threading.Thread(
        target=_end_with_launcher,
        args=(int(launcher),),
        daemon=True,
    )
    watcher.start()
    sys.argv = [module, *options]
    runpy.run_module(module, run_name='__main__', alter_sys=True)


def _end_with_launcher(launcher: int) -> None:
    while os.getppid() == launcher:
        time.sleep(_CHECK_INTERVAL_S)
    os.kill(os.getpid(), signal.SIGTERM)
    time.sleep(_STOP_TIMEOUT_S)
    os.kill(os.getpid(), signal.SIGKILL)


if __name__ == '__main__':
    main()
