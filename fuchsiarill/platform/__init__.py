"""Adapter to the users' platform: translates messages, takes no decisions."""
