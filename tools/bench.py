"""Runs every benchmark and prints one JSON line for each measure."""

from tools import (
    bench_cell,
    bench_decisions,
    bench_run_time_waits,
    bench_run_times,
    bench_waiting,
)


def main() -> None:
    """Run the benchmarks one after the other."""
    bench_decisions.main()
    bench_waiting.main()
    bench_run_times.main()
    bench_run_time_waits.main()
    bench_cell.main()


if __name__ == '__main__':
    main()
