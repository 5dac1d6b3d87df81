"""Stand-ins and the launcher of the script cases of the second review."""
