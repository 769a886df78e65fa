"""`python -m firvane.simulation.localfleet` is the command `firvane-fleet`."""

from firvane.simulation.localfleet import run

run()
