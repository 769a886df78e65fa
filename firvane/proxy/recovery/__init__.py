"""Recovery of the proxies after a power loss."""
