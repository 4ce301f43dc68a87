"""The interface through which the direct path sends a request's response."""

from __future__ import annotations

from typing import Protocol

from .http1 import RawHead


class ResponseSink(Protocol):
    """Receives the response to one request.

    Attributes:
        head_sent: Whether the head was sent, so that it can no longer be replaced.
        is_complete: Whether the whole response was sent.
        sent_bytes: Bytes of the response that were sent so far, its framing included.
    """

    head_sent: bool
    is_complete: bool
    sent_bytes: int

    def send_head(self, head: RawHead) -> None:
        """Send the response's head."""

    def send_data(self, data: bytes) -> None:
        """Send a part of the response's body."""

    def send_response(self, head: RawHead, body: bytes) -> None:
        """Send a complete response."""

    def end(self) -> None:
        """Mark the response as complete."""

    def abort(self) -> None:
        """Abort the response, so that a partial one cannot look complete."""
