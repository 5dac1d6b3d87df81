"""End-to-end tests of failures with real processes."""
