"""Measurements; each file is a command of its own, `--help` tells more."""
