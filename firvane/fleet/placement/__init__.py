"""Placement of prompts on model servers: server selection, retries, failure detection and load exchange."""
