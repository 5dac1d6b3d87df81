"""HTTP front end for callers and operators."""
