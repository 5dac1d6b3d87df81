"""Replay of recorded traces in paused time against stated outcomes."""
