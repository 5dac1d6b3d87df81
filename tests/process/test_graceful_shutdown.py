"""SIGTERM completes requests in progress and hands over the partition."""

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
    """Guards against a shutdown that drops a request in progress."""
    caller = harness.caller()
    submitted_job = caller.submit([job('slow', 3000)])[0]
    harness.wait_running(submitted_job)
    owner = harness.owner()
    leaving = owner if role == 'owner' else harness.other_processes(owner)[0]
    address = urlsplit(harness.cell.entry_urls[leaving]).netloc
    connection = HTTPConnection(address, timeout=_TIMEOUT_S)
    headers = {'Authorization': f'Bearer {caller.token}'}
    path = f'/v1/jobs/{submitted_job.job_id}?wait_ms=8000'
    connection.request('GET', path, headers=headers)
    # Connections are accepted in order: once a later one has been answered,
    # the waiting request has reached the process.
    assert harness.cell.is_ready(leaving)
    harness.cell.processes.send_signal(leaving, signal.SIGTERM)
    answer = json.loads(connection.getresponse().read())
    connection.close()
    assert answer['job_id'] == submitted_job.job_id
    assert answer['code'] in {
        codes.JOB_SUCCEEDED.number,
        codes.NOT_FINISHED.number,
    }
    wait_until(
        lambda: harness.cell.processes.has_ended(leaving),
        f'{leaving} has not ended',
    )
    assert harness.cell.processes.exit_status(leaving) == 0
    other_caller = harness.caller(*harness.other_processes(leaving))
    assert other_caller.submit([job('after')])[0].is_accepted
    harness.wait_settled()
