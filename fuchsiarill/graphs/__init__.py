"""Job graphs: queues of jobs whose steps depend on each other."""
