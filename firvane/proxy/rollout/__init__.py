"""Staged rollout of a new version or configuration, which stops if the new version does worse."""
