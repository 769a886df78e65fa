"""Stand-ins for the surroundings of both systems, in virtual time and on loopback sockets."""
