"""A model of the other side: boxes, clients, the network, discovery. Pure, on a clock that is handed in."""
