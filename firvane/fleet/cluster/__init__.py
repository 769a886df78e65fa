"""The cluster for router and controller: membership and dissemination over one transport."""
