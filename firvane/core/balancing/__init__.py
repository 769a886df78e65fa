"""Computation of slices and offload shares, used by both balancers (DESIGN-firvane.md: Step, Spreading)."""
