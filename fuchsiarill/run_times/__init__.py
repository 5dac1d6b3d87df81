"""Expected run times of tasks, learned from the runs that have ended."""
