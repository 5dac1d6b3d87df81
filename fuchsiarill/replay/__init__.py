"""Replays traces in virtual time and checks the outcomes that they state."""
