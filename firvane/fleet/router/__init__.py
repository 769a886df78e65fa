"""The router: client connections, admission, upstream connections, readiness and draining."""
