"""Serves HTTP pages to the load balancer, to other entries and to metrics collectors."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import eventlet

from .. import clock
from ..errors import CallerGoneError, ConnectionEvictedError
from ..events import Event, log
from .caller_connection import CallerConnection
from .caller_memory import CallerMemory
from .http1 import BadRequestError, RawHead
from .memory_room import NoRoomError
from .routing_config import CallerLimits
from .stalled_callers import Evictor

Page = tuple[RawHead, bytes]

NOT_FOUND: Page = (RawHead(404, b"Not Found", []), b"")

PAGE_LIMITS = CallerLimits(
    header_bytes=8192, body_bytes=0, header_timeout_s=2.0, idle_timeout_s=15.0
)
"""Limits of requests for pages, which have short heads and no bodies."""

MAX_PAGE_CONNECTIONS = 64
"""Connections to one page at one time. A load balancer and a collector have one each; half
of the entries of a large data hall may fetch a view at once."""

PAGE_SILENCE_S = 0.2
"""Time without a byte after which a connection to a page is closed for a new one, in
seconds: a request for a page follows its connection at once."""


class PageServer:
    """Serves one page on a port of its own.

    Args:
        page: Returns the response to a request's target.
        memory: The rooms in which connections are counted.
    """

    def __init__(self, page: Callable[[bytes], Page], memory: CallerMemory) -> None:
        self._page = page
        self._memory = memory
        self._connections: dict[CallerConnection, Any] = {}
        self._evictor: Evictor[CallerConnection] = Evictor(PAGE_SILENCE_S)

    def admit(self) -> bool:
        """Return whether to serve a new connection, if need be in place of a silent one."""
        if len(self._connections) < MAX_PAGE_CONNECTIONS:
            return True
        return self._evictor.evict(dict(self._connections), clock.now())

    def serve(self, sock: Any) -> None:  # noqa: ANN401
        """Respond to all requests on one connection.

        Args:
            sock: The accepted socket.
        """
        try:
            conn = CallerConnection(sock, lambda: PAGE_LIMITS)
        except OSError:
            sock.close()
            return
        self._connections[conn] = eventlet.getcurrent()
        held = self._memory.open_connection()
        try:
            while (raw := conn.read_request()) is not None:
                conn.send_response(*self._page(raw.target))
                if not conn.prepare_next_request():
                    break
        except (
            BadRequestError,
            CallerGoneError,
            ConnectionEvictedError,
            NoRoomError,
            OSError,
        ) as exc:
            log(Event.PAGE_FAILED, str(exc))
        finally:
            del self._connections[conn]
            held.release()
            sock.close()
