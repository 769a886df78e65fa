"""HTTP messages, dialing and transports for both the proxy and the router."""
