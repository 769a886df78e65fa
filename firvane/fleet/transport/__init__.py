"""Transport of frames between the fleet's processes: datagrams for small payloads, TCP for large ones."""
