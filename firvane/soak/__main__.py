"""`python -m firvane.soak`."""

from firvane.soak import run

run()
