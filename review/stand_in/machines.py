"""Starts the programs of the deploy file, each as a process of its own."""

import asyncio
import json
import os
import re
import signal
import tomllib
from functools import partial
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
_SETTINGS_VARIABLE = 'FUCHSIARILL_NODE_FILE'
_PLACEHOLDER = re.compile(r'\{\{([\w.]+)(\|json)?\}\}')
_KEPT_VARIABLES = ('PATH', 'HOME', 'JAVA_HOME', 'LANG')


class Machine:
    """One machine of the class `frontend` with its process."""

    def __init__(self, name: str, fields: dict[str, Any], folder: Path) -> None:
        """Use the fields of the settings page; output goes to `folder`."""
        self.name = name
        self.ip = str(fields['ip'])
        self._fields = fields
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the program with its settings, as the deploy file says."""
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = role['roles']['scheduler']
        settings = self._folder / f'{self.name}.settings'
        template = (ROOT / role['template']).read_text()
        settings.write_text(_fill_in(template, self._fields))
        environment = {
            name: os.environ[name]
            for name in _KEPT_VARIABLES
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment[_SETTINGS_VARIABLE] = str(settings)
        with (self._folder / f'{self.name}.log').open('ab') as output:
            self._process = await asyncio.create_subprocess_exec(
                *role['run'].split(),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def kill(self, number: int = signal.SIGKILL) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        self.kill()
        if self._process is not None:
            await self._process.wait()


def _fill_in(template: str, fields: dict[str, Any]) -> str:
    return _PLACEHOLDER.sub(partial(_find_field, fields), template)


def _find_field(fields: dict[str, Any], match: re.Match[str]) -> str:
    found: Any = fields
    for part in match.group(1).split('.'):
        found = found[int(part)] if part.isdigit() else found[part]
    return json.dumps(found) if match.group(2) else str(found)
