"""A pool of idle connections to endpoints."""

from __future__ import annotations

from collections.abc import Container
from typing import NamedTuple

from .. import clock
from .endpoint_connection import EndpointConnection

DEFAULT_KEEP_ALIVE_S = 2.0
"""Keep-alive time of a connection if the endpoint does not report one, in seconds."""

KEEP_ALIVE_MARGIN_S = 1.0
"""How long before the end of the endpoint's keep-alive time a connection is no longer
reused, in seconds: the time is reported in whole seconds, and a close may be in transit."""

MAX_IDLE_CONNECTIONS = 8
"""Maximum number of idle connections to an endpoint: more than an engine has slots."""

MAX_IDLE_WITHOUT_RETRY_S = 0.25
"""How long a connection may have been idle to be used for a request that cannot be retried,
in seconds. If it has stalled meanwhile, or the endpoint has dropped it, the request is
lost; if a new connection cannot be opened, it is not."""

IDLE_FRACTION = 0.5
"""Fraction of an endpoint's connections that all entries together may keep idle."""


def idle_share(max_connections: int, entries: int) -> int:
    """Return how many idle connections one entry may keep to an endpoint.

    Args:
        max_connections: Connections that the endpoint accepts from all clients together.
        entries: Number of entries that may be running.
    """
    return min(
        MAX_IDLE_CONNECTIONS, max(1, int(max_connections * IDLE_FRACTION / max(entries, 1)))
    )


class _IdleConnection(NamedTuple):
    conn: EndpointConnection
    idle_since: float
    reusable_until: float


class ConnectionPool:
    """Idle connections, by the endpoint's address.

    Args:
        connect_timeout_s: Connect timeout of a new connection, in seconds.
    """

    def __init__(self, connect_timeout_s: float) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[str, list[_IdleConnection]] = {}
        self.opened = 0
        self.reused = 0

    def get(
        self,
        address: str,
        *,
        max_idle_s: float | None = None,
        leave_out: Container[EndpointConnection] = (),
    ) -> EndpointConnection:
        """Return a pooled connection, or open a new one.

        Args:
            address: IP address and port of the endpoint.
            max_idle_s: Longest time that a pooled one may have been idle, in seconds.
            leave_out: Pooled ones that stay in the pool.

        Raises:
            ConnectError: A new connection could not be opened.
        """
        pooled = self._idle.get(address, [])
        now = clock.now()
        # The last one was used last: the others have been idle for longer.
        for idle in [item for item in reversed(pooled) if item.conn not in leave_out]:
            if max_idle_s is not None and now - idle.idle_since > max_idle_s:
                break
            pooled.remove(idle)
            if idle.reusable_until > now and idle.conn.is_open_and_idle():
                self.reused += 1
                return idle.conn
            idle.conn.close()
        return self.open(address)

    def open(self, address: str) -> EndpointConnection:
        """Open a new connection.

        Raises:
            ConnectError: It could not be opened.
        """
        self.opened += 1
        return EndpointConnection(address, self._connect_timeout_s)

    def put(
        self,
        conn: EndpointConnection,
        keep_alive_s: float | None,
        max_idle: int = MAX_IDLE_CONNECTIONS,
    ) -> None:
        """Pool a connection whose response was read completely, or close it.

        Args:
            conn: The connection.
            keep_alive_s: Keep-alive time of the endpoint, in seconds; ``None`` if it did
                not report one.
            max_idle: Maximum number of idle connections to this endpoint.
        """
        reusable_s = (
            DEFAULT_KEEP_ALIVE_S
            if keep_alive_s is None
            else keep_alive_s - KEEP_ALIVE_MARGIN_S
        )
        if reusable_s <= 0 or not conn.make_reusable():
            conn.close()
            return
        self._add(conn, reusable_s, max_idle)

    def put_unused(self, conn: EndpointConnection, max_idle: int) -> None:
        """Pool a new connection that was used for no request, or close it.

        Args:
            conn: The connection.
            max_idle: Maximum number of idle connections to this endpoint.
        """
        self._add(conn, DEFAULT_KEEP_ALIVE_S, max_idle)

    def _add(self, conn: EndpointConnection, reusable_s: float, max_idle: int) -> None:
        pooled = self._idle.setdefault(conn.address, [])
        if len(pooled) >= max_idle:
            conn.close()
            return
        now = clock.now()
        pooled.append(_IdleConnection(conn, now, now + reusable_s))

    def expire(self) -> None:
        """Close idle connections whose keep-alive time is over."""
        now = clock.now()
        for address, pooled in list(self._idle.items()):
            for idle in [item for item in pooled if item.reusable_until <= now]:
                idle.conn.close()
                pooled.remove(idle)
            if not pooled:
                del self._idle[address]

    def close_all(self) -> None:
        """Close all idle connections: one has stalled, and so may have others."""
        for address in list(self._idle):
            self.close_idle(address)

    def close_idle(self, address: str) -> None:
        """Close all idle connections to an address."""
        for idle in self._idle.pop(address, []):
            idle.conn.close()
