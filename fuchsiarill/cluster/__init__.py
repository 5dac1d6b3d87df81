"""Membership, configuration spread and links between the processes."""
