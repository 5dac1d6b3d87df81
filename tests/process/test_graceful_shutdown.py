"""SIGTERM: answers in progress are completed, the partition is handed over."""

import json
import signal
from http.client import HTTPConnection
from urllib.parse import urlsplit

import pytest

from fuchsiarill import codes
from tests.process.harness import Harness, job
from tools.processes import wait_until

_TIMEOUT_S = 60


@pytest.mark.parametrize('role', ['owner', 'other'])
def test_answer_in_progress_is_completed(harness: Harness, role: str) -> None:
    """Guards against a shutdown that cuts off an answer."""
    caller = harness.caller()
    note = caller.submit([job('slow', 3000)])[0]
    harness.wait_running(note)
    owner = harness.owner()
    leaving = owner if role == 'owner' else harness.others(owner)[0]
    address = urlsplit(harness.cell.entry_urls[leaving]).netloc
    waiting = HTTPConnection(address, timeout=_TIMEOUT_S)
    headers = {'Authorization': f'Bearer {caller.token}'}
    path = f'/v1/jobs/{note.job_id}?wait_ms=8000'
    waiting.request('GET', path, headers=headers)
    # Connections are accepted in order: once a later one has its answer, the
    # waiting request has reached the process.
    assert harness.cell.is_ready(leaving)
    harness.cell.processes.send_signal(leaving, signal.SIGTERM)
    answer = json.loads(waiting.getresponse().read())
    waiting.close()
    assert answer['job_id'] == note.job_id
    assert answer['code'] in {
        codes.JOB_SUCCEEDED.number,
        codes.NOT_FINISHED.number,
    }
    wait_until(
        lambda: harness.cell.processes.has_ended(leaving),
        f'{leaving} has not ended',
    )
    assert harness.cell.processes.exit_status(leaving) == 0
    rest = harness.caller(*harness.others(leaving))
    assert rest.submit([job('after')])[0].is_accepted
    harness.wait_settled()
