"""HTTP, dials and transports, as both the proxy and the router use them."""
