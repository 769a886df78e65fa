"""The daemons of the router fleet: entry points, settings, logging and signals."""
