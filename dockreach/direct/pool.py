"""Idle connections to endpoints, kept for reuse."""

from __future__ import annotations

from typing import NamedTuple

from .. import clock
from .endpoint_connection import EndpointConnection

DEFAULT_KEPT_S = 2.0
"""How long an idle connection is reused where the endpoint does not say, in seconds."""

EARLY_S = 1.0
"""How long before the endpoint's own limit a connection is not reused any more, in
seconds: limits are told in whole seconds, and a close may be on its way."""

MOST_IDLE = 8
"""Idle connections kept for each endpoint: more than an engine has places."""

RESTED_S = 0.25
"""How long a connection may have rested to be used for what cannot be tried again, in
seconds. One that has fallen silent meanwhile, or is forgotten by the endpoint, takes a
request with it; a new one that does not come up takes none."""

IDLE_PART = 0.5
"""Part of an endpoint's connections that all entries together may keep idle."""


def idle_share(max_connections: int, entries: int) -> int:
    """Return how many idle connections one entry may keep to an endpoint.

    Args:
        max_connections: What the endpoint accepts from all callers together.
        entries: Entries that may be alive.
    """
    return min(MOST_IDLE, max(1, int(max_connections * IDLE_PART / max(entries, 1))))


class _Idle(NamedTuple):
    conn: EndpointConnection
    since: float
    until: float


class ConnectionPool:
    """Connections by endpoint.

    Args:
        connect_s: Longest time to wait for a new connection, in seconds.
    """

    def __init__(self, connect_s: float) -> None:
        self._connect_s = connect_s
        self._idle: dict[str, list[_Idle]] = {}
        self.opened = 0
        self.reused = 0

    def get(
        self, address: str, *, most_rested_s: float | None = None
    ) -> EndpointConnection:
        """Return a connection, kept or new.

        Args:
            address: The endpoint's.
            most_rested_s: Longest time that a kept one may have rested, in seconds.

        Raises:
            ConnectError: A new one did not come up.
        """
        kept = self._idle.get(address, [])
        now = clock.now()
        while kept:
            if most_rested_s is not None and now - kept[-1].since > most_rested_s:
                # The last one was used last: the others rested for longer.
                break
            idle = kept.pop()
            if idle.until > now and idle.conn.is_quiet():
                self.reused += 1
                return idle.conn
            idle.conn.close()
        self.opened += 1
        return EndpointConnection(address, self._connect_s)

    def put(
        self, conn: EndpointConnection, kept_s: float | None, most_idle: int = MOST_IDLE
    ) -> None:
        """Keep a connection whose answer was read whole; close it if that can't be.

        Args:
            conn: The connection.
            kept_s: How long the endpoint keeps it, in seconds; ``None`` if not told.
            most_idle: Idle connections that may be kept to this endpoint.
        """
        for_s = DEFAULT_KEPT_S if kept_s is None else kept_s - EARLY_S
        kept = self._idle.setdefault(conn.address, [])
        if for_s <= 0 or len(kept) >= most_idle or not conn.make_reusable():
            conn.close()
            return
        now = clock.now()
        kept.append(_Idle(conn, now, now + for_s))

    def expire(self) -> None:
        """Close connections that will not be reused."""
        now = clock.now()
        for address, kept in list(self._idle.items()):
            for idle in [item for item in kept if item.until <= now]:
                idle.conn.close()
                kept.remove(idle)
            if not kept:
                del self._idle[address]

    def drop_all(self) -> None:
        """Close all idle connections: one was found silent, and others may be."""
        for address in list(self._idle):
            self.drop(address)

    def drop(self, address: str) -> None:
        """Close all idle connections to an address."""
        for idle in self._idle.pop(address, []):
            idle.conn.close()
