"""Tenants: API keys, timely revocation through freshness proofs, and quotas over all routers."""
