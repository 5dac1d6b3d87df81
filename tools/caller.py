"""A customer's client: submits, queries and cancels jobs on entry hosts.

It records the answer to each job. When an entry host does not answer, or
answers with a retriable code, the same request with the same idempotency key
goes to the next entry host.
"""

import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, Final

import urllib3

from fuchsiarill import codes

_RETRY_PAUSE_S: Final = 0.2
_TIMEOUT_S: Final = 5
# Codes that are not final; the same request is sent again.
_RETRIABLE: Final = frozenset(
    code.number
    for code in (
        codes.OVERLOADED,
        codes.OWNER_UNAVAILABLE,
        codes.STORE_UNAVAILABLE,
        codes.OUTCOME_UNCERTAIN,
        codes.NOT_CONFIGURED,
        codes.DRAINING,
        codes.RATE_EXCEEDED,
        codes.QUEUE_FULL,
    )
)
_ACCEPTED: Final = frozenset(
    (codes.ACCEPTED.number, codes.ACCEPTED_VOLATILE.number),
)


def clock_ms() -> int:
    """Return the monotonic clock of the machine; workers' logs use it too."""
    return int(time.monotonic() * 1000)


@dataclass(slots=True)
class SubmittedJob:
    """A submitted job and its answer; times are of `clock_ms`.

    `code` is 0 until an entry host accepts the job or refuses it for good.
    """

    body: dict[str, Any]
    job_id: str = ''
    code: int = 0
    attempts_count: int = 0
    sent_at_ms: int = 0
    answered_at_ms: int = 0
    cancel_acknowledged: bool = False

    @property
    def is_accepted(self) -> bool:
        """Tell whether the job was acknowledged."""
        return self.code in _ACCEPTED

    @property
    def is_refused(self) -> bool:
        """Tell whether the job was refused with a final code."""
        return bool(self.code) and not self.is_accepted

    def apply_answer(self, answer: dict[str, Any]) -> None:
        """Record a final answer; one with a retriable code is ignored."""
        if answer['code'] in _RETRIABLE:
            return
        self.code = answer['code']
        self.job_id = answer.get('job_id', '')
        self.answered_at_ms = clock_ms()


@dataclass(slots=True)
class Caller:
    """Sends the requests of one customer.

    `entry_urls` is the order in which this caller tries the entry hosts.
    Requests without an answer after `give_up_after_s` stay unacknowledged.
    """

    token: str
    entry_urls: list[str]
    give_up_after_s: float = 30
    submitted_jobs: list[SubmittedJob] = field(default_factory=list)
    _http: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(retries=False, maxsize=8),
    )

    def submit(self, bodies: list[dict[str, Any]]) -> list[SubmittedJob]:
        """Submit a batch; jobs without a final answer are sent again."""
        sent = [SubmittedJob(body, sent_at_ms=clock_ms()) for body in bodies]
        self.submitted_jobs.extend(sent)
        for url in self._urls_until_deadline():
            open_jobs = [job for job in sent if not job.code]
            if not open_jobs:
                break
            self._submit_once(url, open_jobs)
        return sent

    def cancel(self, job: SubmittedJob) -> None:
        """Cancel a job; retries until a final answer or the time limit."""
        path = f'/v1/jobs/{job.job_id}'
        for url in self._urls_until_deadline():
            answer = self.request('DELETE', url + path)
            if answer is not None and answer['code'] not in _RETRIABLE:
                job.cancel_acknowledged = (
                    answer['code'] == codes.CANCEL_STARTED.number
                )
                return

    def query(self, job_id: str, wait_ms: int = 0) -> dict[str, Any]:
        """Return the answer about a job; `{}` if no final one came in time."""
        path = f'/v1/jobs/{job_id}?wait_ms={wait_ms}'
        for url in self._urls_until_deadline():
            answer = self.request('GET', url + path, wait_ms / 1000)
            if answer is not None and answer['code'] not in _RETRIABLE:
                return answer
        return {}

    def request(
        self,
        method: str,
        url: str,
        wait_s: float = 0,
        body: dict[str, Any] | None = None,
    ) -> dict[str, Any] | None:
        """Send one request; returns `None` if no JSON answer arrives."""
        try:
            answer = self._http.request(
                method,
                url,
                json=body,
                headers={'Authorization': f'Bearer {self.token}'},
                timeout=_TIMEOUT_S + wait_s,
            )
            document: dict[str, Any] = answer.json()
        except (urllib3.exceptions.HTTPError, ValueError):
            return None
        return document

    def _submit_once(self, url: str, jobs: list[SubmittedJob]) -> None:
        bodies = []
        for open_job in jobs:
            open_job.attempts_count += 1
            bodies.append(open_job.body)
        body = {'jobs': bodies}
        answer = self.request('POST', f'{url}/v1/jobs', body=body)
        if answer is None or 'answers' not in answer:
            return
        for job, job_answer in zip(jobs, answer['answers'], strict=True):
            job.apply_answer(job_answer)

    def _urls_until_deadline(self) -> Iterator[str]:
        deadline_s = time.monotonic() + self.give_up_after_s
        while time.monotonic() < deadline_s:
            yield from self.entry_urls
            time.sleep(_RETRY_PAUSE_S)
