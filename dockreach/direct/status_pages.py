"""Serves HTTP pages to the load balancer, to other entries and to metrics collectors."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import eventlet

from ..errors import CallerGoneError, ConnectionEvictedError
from ..events import Event, log
from .caller_connection import CallerConnection
from .caller_memory import CallerMemory
from .http1 import BadRequestError, RawHead
from .memory_room import NoRoomError
from .routing_config import CallerLimits
from .stalled_callers import Activity

Page = tuple[RawHead, bytes]

NOT_FOUND: Page = (RawHead(404, b"Not Found", []), b"")

PAGE_LIMITS = CallerLimits(
    header_bytes=8192, body_bytes=0, header_timeout_s=2.0, idle_timeout_s=15.0
)
"""Limits of requests for pages, which have short heads and no bodies."""

MAX_PAGE_CONNECTIONS = 64
"""Connections to one page at one time. A load balancer and a collector have one each; half
of the entries of a large data hall may fetch a view at once."""


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
        self._arriving = 0

    def admit(self) -> bool:
        """Return whether to serve a new connection, if need be in place of another one."""
        count = len(self._connections) + self._arriving
        if count >= MAX_PAGE_CONNECTIONS and not self._close_oldest():
            return False
        # It is not among the connections until its greenlet runs.
        self._arriving += 1
        return True

    def _close_oldest(self) -> bool:
        """Close the oldest connection that gets no page just now; return if there was one.

        A request for a page is short and follows its connection at once, so that whoever
        waits for one has connected last.
        """
        for conn, greenlet in self._connections.items():
            if conn.progress.activity is not Activity.SERVED:
                eventlet.kill(greenlet, ConnectionEvictedError("too many connections"))
                return True
        return False

    def serve(self, sock: Any) -> None:  # noqa: ANN401
        """Respond to all requests on one connection.

        Args:
            sock: The accepted socket.
        """
        self._arriving = max(self._arriving - 1, 0)
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
