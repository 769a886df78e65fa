"""Tenants: API keys, revocation by proofs of freshness, and quotas over all routers."""
