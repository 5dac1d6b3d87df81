"""Tests of fuchsiarill."""
