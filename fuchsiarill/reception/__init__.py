"""Receives HTTP requests within limits, for every listener of a process."""
