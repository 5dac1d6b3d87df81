"""Interfaces to external systems, and HTTP clients of these systems."""
