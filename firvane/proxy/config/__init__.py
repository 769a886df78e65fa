"""The configuration of a proxy, read from `firvane.toml` or from the platform's JSON file."""
