"""The arithmetic of slices and windows, as both balancers use it (DESIGN-firvane.md: Step, Spreading)."""
