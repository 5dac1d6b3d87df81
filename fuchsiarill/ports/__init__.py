"""Narrow interfaces to the outside systems and their HTTP clients."""
