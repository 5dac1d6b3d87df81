"""State charts of the stand-ins."""
