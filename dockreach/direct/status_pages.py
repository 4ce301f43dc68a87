"""Pages for the balancer, for other entries and for whoever reads the metrics."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..errors import CallerGoneError
from ..events import Event, log
from .caller_connection import CallerConnection
from .fleet import CallerLimits
from .http1 import BadRequestError, RawHead

Page = tuple[RawHead, bytes]

NOT_FOUND: Page = (RawHead(404, b"Not Found", []), b"")


def serve_page(sock: Any, page: Callable[[bytes], Page]) -> None:  # noqa: ANN401
    """Answer requests on one connection.

    Args:
        sock: The accepted socket.
        page: Returns the answer to a target.
    """
    try:
        conn = CallerConnection(sock, CallerLimits())
        while (raw := conn.read_request()) is not None:
            conn.send_whole(*page(raw.target))
            if not conn.next_request():
                break
    except (BadRequestError, CallerGoneError, OSError) as exc:
        log(Event.PAGE_FAILED, str(exc))
    finally:
        sock.close()
