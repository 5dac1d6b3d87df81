"""Token bucket of a contract: which jobs are within the guaranteed rate."""

from fuchsiarill.contracts.rates import JobRates
from fuchsiarill.ids import CustomerId

MASON = CustomerId('mason')
TILER = CustomerId('tiler')


def within_count(
    rates: JobRates, per_s: int, weight: float, duration_s: int
) -> int:
    """Send jobs evenly; return how many are within the rate."""
    return sum(
        rates.count(MASON, weight, number * 1000 // per_s)
        for number in range(per_s * duration_s)
    )


def test_customer_at_its_rate_is_never_marked() -> None:
    """Guards against marks of a customer that keeps to its contract."""
    assert within_count(JobRates(), 20, 20, 60) == 20 * 60


def test_customer_at_four_times_its_rate_keeps_its_guarantee() -> None:
    """Guards against excess jobs that use up the guaranteed rate."""
    count = within_count(JobRates(), 80, 20, 6)
    assert 20 * (6 + 3) - 20 <= count <= 20 * (6 + 3)


def test_burst_after_a_pause_and_clock_that_goes_back() -> None:
    """Guards against tokens that pile up, and against negative refills."""
    rates = JobRates()
    burst = sum(rates.count(MASON, 2, 0) for _ in range(20))
    assert burst == 6
    assert not rates.count(MASON, 2, 0)
    assert not rates.count(MASON, 2, -5000)
    assert rates.count(MASON, 2, 500)
    assert sum(rates.count(MASON, 2, 3_600_000) for _ in range(20)) == 6


def test_buckets_are_separate_and_slow_contracts_get_a_job() -> None:
    """Guards against one customer's burst that marks another customer."""
    rates = JobRates()
    assert rates.count(MASON, 0.1, 0)
    assert not rates.count(MASON, 0.1, 1)
    assert rates.count(TILER, 0.1, 1)
    assert rates.count(CustomerId('new'), 1, 0)


def test_share_within_the_rate_at_four_times_the_rate() -> None:
    """Guards against a mark that takes the guaranteed rate away too."""
    rates = JobRates()
    assert int(rates.within_share(MASON, 20, 0)) == 1
    within_count(rates, 80, 20, 10)
    assert round(rates.within_share(MASON, 20, 10_000) * 10) in {2, 3}
    assert int(rates.within_share(MASON, 20, 20_000)) == 1
