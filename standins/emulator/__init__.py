"""The users' platform on loopback, as one process."""
