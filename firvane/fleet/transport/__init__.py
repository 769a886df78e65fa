"""Frames between the system's own processes: datagrams for small payloads, TCP links for large ones."""
