"""Stand-ins for what is round the proxies, on virtual time or on loopback, and runs of whole scenarios."""
