"""State of load of a pool, and what follows from it for new jobs; no I/O."""
