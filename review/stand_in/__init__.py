"""Stand-ins for the platform, its workers and its clients, on loopback."""
