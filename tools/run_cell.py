"""Runs the cell of an example until Ctrl-C, for manual tests."""

import argparse
import signal
import tempfile
from pathlib import Path

from tools.cell import Cell
from tools.deployment import EXAMPLES, load_deployment
from tools.processes import end_on_signals


def main() -> None:
    """Start the cell, print its URLs and tokens, and wait for a signal."""
    parser = argparse.ArgumentParser(prog='tools.run_cell')
    parser.add_argument('--deployment', default='frostwick')
    options = parser.parse_args()
    end_on_signals()
    deployment = load_deployment(EXAMPLES / f'{options.deployment}-hosts.yaml')
    configuration = (EXAMPLES / deployment.configuration).read_text()
    with tempfile.TemporaryDirectory(prefix='fuchsiarill-cell-') as folder:
        with Cell(deployment, configuration, Path(folder)) as cell:
            for process, url in cell.entry_urls.items():
                print(f'{process}: {url}')
            for name, token in deployment.tokens.items():
                print(f'token of {name}: {token}')
            print(f'logs: {folder}; Ctrl-C ends everything', flush=True)
            _wait_for_interrupt()


def _wait_for_interrupt() -> None:
    try:
        signal.pause()
    except KeyboardInterrupt:
        return


if __name__ == '__main__':
    main()
