"""Tenants: who asks, how recent the proof of that is, and how much each tenant may use."""
