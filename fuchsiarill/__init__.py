"""Cluster scheduler for services, batch work and gang jobs in one cell."""
