"""Failures end to end, with real processes."""
