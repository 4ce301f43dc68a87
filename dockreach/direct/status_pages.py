"""Serves HTTP pages to the load balancer, to other entries and to metrics collectors."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..errors import CallerGoneError
from ..events import Event, log
from .caller_connection import CallerConnection
from .http1 import BadRequestError, RawHead
from .routing_config import CallerLimits

Page = tuple[RawHead, bytes]

NOT_FOUND: Page = (RawHead(404, b"Not Found", []), b"")


def serve_page(sock: Any, page: Callable[[bytes], Page]) -> None:  # noqa: ANN401
    """Respond to all requests on one connection.

    Args:
        sock: The accepted socket.
        page: Returns the response to a request's target.
    """
    try:
        conn = CallerConnection(sock, CallerLimits)
        while (raw := conn.read_request()) is not None:
            conn.send_response(*page(raw.target))
            if not conn.prepare_next_request():
                break
    except (BadRequestError, CallerGoneError, OSError) as exc:
        log(Event.PAGE_FAILED, str(exc))
    finally:
        sock.close()
