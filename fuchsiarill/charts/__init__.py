"""State chart files, interpreted by `fuchsiarill.state_chart`."""
