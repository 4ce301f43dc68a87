"""The HTTP API of an entry for callers, as a WSGI application."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

import msgspec

from ._decoding import whole_number
from ._responses import JSON_TYPE, StartResponse, send_refusal
from .entry_tables import Admit
from .request_parsing import (
    COMPLETION_PATHS,
    SERVICE_PREFIX,
    InboundRequest,
    authenticate,
    not_run_refusal,
    parse_request,
)
from .response_delivery import ResponseDelivery
from .verdict import Reason, Refusal

if TYPE_CHECKING:
    from .entry_node import EntryNode

SOCKET_ENVIRON_KEY = "dockreach.socket"

Environ = dict[str, Any]


def to_inbound_request(environ: Environ, body: bytes) -> InboundRequest:
    """Convert a WSGI environment and a body to a request."""
    headers = {
        key[5:].replace("_", "-").lower(): value
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    return InboundRequest(
        method=environ["REQUEST_METHOD"],
        path=environ.get("PATH_INFO", "/"),
        query=environ.get("QUERY_STRING", ""),
        headers=headers,
        body=body,
    )


def read_body(environ: Environ, limit: int) -> bytes | Refusal:
    """Read a request's body, up to `limit` bytes and within the socket's timeout."""
    text = environ.get("CONTENT_LENGTH") or ""
    length = whole_number(text)
    if text and (length is None or length > limit):
        return not_run_refusal(Reason.TOO_LARGE, f"the body is larger than {limit} bytes")
    try:
        body: bytes = environ["wsgi.input"].read(limit + 1)
    except (TimeoutError, OSError, ValueError):
        return not_run_refusal(
            Reason.BAD_REQUEST, "the body was cut off or not received in time"
        )
    if len(body) > limit:
        return not_run_refusal(Reason.TOO_LARGE, f"the body is larger than {limit} bytes")
    if length is not None and len(body) < length:
        return not_run_refusal(
            Reason.BAD_REQUEST, "the body is shorter than its Content-Length"
        )
    return body


class CallerApp:
    """WSGI application that serves callers.

    Args:
        node: The entry.
    """

    def __init__(self, node: EntryNode) -> None:
        self._node = node

    def __call__(self, environ: Environ, start: StartResponse) -> Iterator[bytes]:
        """Serve one request."""
        path = environ.get("PATH_INFO", "/")
        page = self._node.pages.find(path)
        if page is not None:
            return page(environ, start)
        if path == "/v1/models":
            return self._serve_models(environ, start)
        if path in COMPLETION_PATHS or path.startswith(SERVICE_PREFIX):
            return self._serve_request(environ, start)
        refusal = not_run_refusal(
            Reason.UNKNOWN_SERVICE, f"there is no service at {path!r}"
        )
        return send_refusal(start, refusal, "")

    def _serve_models(self, environ: Environ, start: StartResponse) -> Iterator[bytes]:
        declarations = self._node.config.declarations
        if declarations is None:
            return send_refusal(start, not_run_refusal(Reason.NOT_READY, "", 1.0), "")
        caller = authenticate(to_inbound_request(environ, b""), declarations)
        if isinstance(caller, Refusal):
            return send_refusal(start, caller, "")
        data = [{"id": name, "object": "model"} for name in declarations.models]
        body = msgspec.json.encode({"object": "list", "data": data})
        start("200 OK", [("Content-Type", JSON_TYPE)])
        return iter((body,))

    def _serve_request(self, environ: Environ, start: StartResponse) -> Iterator[bytes]:
        node = self._node
        declarations = node.config.declarations
        body = read_body(environ, node.settings.limits.body_bytes)
        if isinstance(body, Refusal):
            return send_refusal(start, body, "", close=True)
        if declarations is None or not node.is_ready():
            reason = Reason.STOPPING if node.leaving else Reason.NOT_READY
            return send_refusal(start, not_run_refusal(reason, "", 1.0), "")
        message = parse_request(to_inbound_request(environ, body), declarations)
        if isinstance(message, Refusal):
            return send_refusal(start, message, "")
        refusal = node.check_limits(message)
        if refusal is not None:
            return send_refusal(start, refusal, message.rid)
        waiter = node.submit(message)
        if isinstance(waiter, Refusal):
            return send_refusal(start, waiter, message.rid)
        repeatable = not isinstance(message, Admit) or message.repeatable
        delivery = ResponseDelivery(
            node, waiter, environ.get(SOCKET_ENVIRON_KEY), repeatable=repeatable
        )
        return delivery.respond(start, is_buffered=not message.stream)
