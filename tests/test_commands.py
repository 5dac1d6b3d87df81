"""The requests, the printed texts and the exit status of each command."""

from pathlib import Path
from typing import Any

import pytest
import yaml

from fuchsiarill import codes
from fuchsiarill.commands import main as command_line
from fuchsiarill.commands.client import Client, ClientSettings, ServerResponse

_CASES = yaml.safe_load(
    Path(__file__).with_name('cases').joinpath('commands.yaml').read_text(),
)


class ScriptedClient(Client):
    """Returns prepared responses and records the requests."""

    def __init__(self, answers: list[Any]) -> None:
        """Return `answers` in the order given."""
        super().__init__(ClientSettings((), ''))
        self.requests: list[str] = []
        self._answers = list(answers)

    def request(
        self,
        method: str,
        path: str,
        body: object | None = None,
    ) -> ServerResponse:
        """Return the next prepared response."""
        self.requests.append(f'{method} {path}')
        answer = self._answers.pop(0)
        number = answer.get('code', codes.DONE.number)
        return ServerResponse(codes.by_number(number), answer)


@pytest.mark.parametrize('case', _CASES, ids=lambda case: case['name'])
def test_command(
    case: dict[str, Any],
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a wrong request, text or exit status of a command."""
    client = ScriptedClient(case['answers'])
    monkeypatch.setattr(command_line, '_create_client', lambda options: client)
    status = command_line.main(case['words'].split())
    printed = capsys.readouterr()
    assert status.value == case['exit']
    assert client.requests == case['asked']
    assert case.get('prints', '') in printed.out
    assert case.get('errors', '') in printed.err
    hidden = case.get('hides')
    assert hidden is None or hidden not in printed.out
