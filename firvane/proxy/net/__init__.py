"""The platform's protocol: HTTP to clients and targets, discovery, and the peers' datagrams."""
