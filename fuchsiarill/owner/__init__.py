"""Ownership of a partition: lease, journal, takeover, worker links."""
