"""Patterns of IPv4 addresses and ports, in ASCII digits, that a socket can use."""

from __future__ import annotations

_OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"

IP_PATTERN = rf"({_OCTET}\.){{3}}{_OCTET}"
"""An IPv4 address, without leading zeros, which a socket would read as octal."""

PORT_PATTERN = (
    "(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[1-9][0-9]{0,3})"
)
"""A port that a peer can listen at: 1 to 65535."""

ADDRESS_PATTERN = f"{IP_PATTERN}:{PORT_PATTERN}"
"""An IPv4 address and a port."""
