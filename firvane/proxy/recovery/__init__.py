"""Coming back from a loss of power: what is trusted, what is asked, in which order service returns."""
