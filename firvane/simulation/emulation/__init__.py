"""Emulation of the proxies' environment: backends, clients, network, discovery. No I/O, no clock."""
