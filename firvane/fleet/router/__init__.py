"""The data plane of the router fleet: clients' connections, upstream connections, and their wiring."""
