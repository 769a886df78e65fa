"""The cluster as both programs use it: membership and dissemination over one transport."""
