"""What the proxy and the router fleet share: engine, events, addresses, logs, durable files, signals."""
