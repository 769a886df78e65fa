"""The proxy in service: a bank of HTTP proxies, each of which decides for itself."""
