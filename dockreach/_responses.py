"""HTTP responses for refused requests."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from .verdict import Refusal, http_status

REQUEST_ID_HEADER = "Dockreach-Request-Id"
VERDICT_HEADER = "Dockreach-Verdict"
TICKET_HEADER = "Dockreach-Ticket"
JSON_TYPE = "application/json"

StartResponse = Callable[..., Any]


def error_body(refusal: Refusal, rid: str) -> bytes:
    """Return the JSON body that describes a refusal."""
    return msgspec.json.encode(
        {
            "error": {
                "code": refusal.reason.value,
                "verdict": refusal.verdict.value,
                "reason": refusal.detail or refusal.reason.value.replace("_", " "),
                "request_id": rid,
                "retry_after_s": refusal.retry_after_s,
            }
        }
    )


def send_refusal(
    start_response: StartResponse,
    refusal: Refusal,
    rid: str,
    *,
    ticket: str = "",
    close: bool = False,
) -> Iterator[bytes]:
    """Send a refusal with its verdict.

    Args:
        start_response: The ``start_response`` of WSGI.
        refusal: The refusal.
        rid: Id of the request; empty if it has none yet.
        ticket: Header value that identifies where the request may have run, for a later
            attempt by the caller; empty if the request was not committed.
        close: Whether the connection must be closed after the response.
    """
    body = error_body(refusal, rid)
    headers = [
        ("Content-Type", JSON_TYPE),
        ("Content-Length", str(len(body))),
        (VERDICT_HEADER, refusal.verdict.value),
    ]
    if rid:
        headers.append((REQUEST_ID_HEADER, rid))
    if ticket:
        headers.append((TICKET_HEADER, ticket))
    if refusal.retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, round(refusal.retry_after_s)))))
    if close:
        headers.append(("Connection", "close"))
    start_response(f"{http_status(refusal.reason)} Refused", headers)
    return iter((body,))
