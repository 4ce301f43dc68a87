"""Rendezvous (highest-random-weight) hashing.

Daemons with the same list of nodes make the same choice without communicating.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b


def weight(key: str, node: str) -> int:
    """Return the weight of a node for a key; the node with the highest weight is chosen."""
    digest = blake2b(f"{key}\0{node}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def ranked(key: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes by descending weight for a key."""
    return sorted(nodes, key=lambda node: (-weight(key, node), node))


def choose(key: str, nodes: Iterable[str]) -> str | None:
    """Return the node with the highest weight for a key; ``None`` without nodes."""
    return max(nodes, key=lambda node: (weight(key, node), node), default=None)
