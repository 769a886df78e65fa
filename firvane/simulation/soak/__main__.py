"""`python -m firvane.simulation.soak`."""

from firvane.simulation.soak import run

run()
