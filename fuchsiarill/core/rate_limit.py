"""Submission rate of each customer: a token bucket per contract."""

import math
from typing import Final

from fuchsiarill import codes, texts
from fuchsiarill.core.accounts import Account
from fuchsiarill.refusal import Refusal, refuse

_MS_PER_SECOND: Final = 1000


def take_token(account: Account, now_ms: int) -> Refusal | None:
    """Count one submission; returns a refusal if the rate is exceeded."""
    contract = account.contract
    if contract is None:
        return None
    _refill(
        account,
        contract.submit_rate_per_s,
        contract.submit_burst_count,
        now_ms,
    )
    if account.tokens >= 1:
        account.tokens -= 1
        return None
    missing_tokens = 1 - account.tokens
    wait_ms = missing_tokens * _MS_PER_SECOND / contract.submit_rate_per_s
    return refuse(
        codes.RATE_EXCEEDED,
        texts.RATE_EXCEEDED,
        retry_after_ms=math.ceil(wait_ms),
        customer=account.customer,
        rate=contract.submit_rate_per_s,
        burst=contract.submit_burst_count,
    )


def _refill(
    account: Account,
    rate_per_s: int,
    burst_count: int,
    now_ms: int,
) -> None:
    elapsed_ms = now_ms - account.refilled_at_ms
    account.refilled_at_ms = now_ms
    gained_tokens = elapsed_ms * rate_per_s / _MS_PER_SECOND
    # The minimum also discards tokens above a burst that was lowered.
    account.tokens = min(account.tokens + gained_tokens, burst_count)
