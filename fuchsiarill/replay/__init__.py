"""Replay of traces against stated outcomes, in paused time."""
