"""Exponential back-off."""

from __future__ import annotations

_MAX_DOUBLINGS = 64
"""Doublings after which each back-off is at its maximum; 2.0 to the power of 1024 is an
`OverflowError`."""


def backoff_after(failures: int, *, first: float, longest: float) -> float:
    """Return a value that doubles with each failure in a row, up to a maximum.

    Args:
        failures: Failures in a row before the present one.
        first: Value for the first failure.
        longest: Maximum.
    """
    return min(first * 2.0 ** min(failures, _MAX_DOUBLINGS), longest)
