"""Random draws that depend only on a seed and a name: equal on every machine, whatever was drawn before."""

from __future__ import annotations

MASK = 0xFFFFFFFFFFFFFFFF
GOLDEN = 0x9E3779B97F4A7C15
NAME_PRIME = 0x100000001B3


def mix(number: int) -> int:
    """Mix 64 bits one-to-one (the finalizer of SplitMix64): distinct numbers stay distinct."""
    x = (number + GOLDEN) & MASK
    x = ((x ^ x >> 30) * 0xBF58476D1CE4E5B9) & MASK
    x = ((x ^ x >> 27) * 0x94D049BB133111EB) & MASK
    return x ^ x >> 31


def named(seed: int, name: str) -> int:
    """Return 64 bits for a name under a seed."""
    x = mix(seed & MASK)
    for byte in name.encode():
        x = (x ^ byte) * NAME_PRIME & MASK
    return mix(x)


def part(bits: int) -> float:
    """Return 64 bits as a number from 0 to below 1."""
    return (bits >> 11) * 2.0**-53
