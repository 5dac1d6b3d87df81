"""Scheduling decisions: synchronous, without I/O and without encoding."""
