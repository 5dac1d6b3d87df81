"""Membership, configuration distribution and links between processes."""
