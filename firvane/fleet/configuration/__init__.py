"""Configurations of the operators: checks, versions, the replicated state, and what routers look up.

Controllers use `state`, `orders`, `checker` and `codes`. Routers use `item` and `routes`, which load none
of these.
"""
