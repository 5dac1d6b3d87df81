"""Emulator of the users' platform: one process on loopback ports."""
