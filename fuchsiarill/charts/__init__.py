"""State chart files, read by `fuchsiarill.state_chart`."""
