"""Development commands: demos, benchmarks and tests; not installed."""
