"""Where a request's answer goes, as the direct path sees it."""

from __future__ import annotations

from typing import Protocol

from .http1 import RawHead


class CallerSide(Protocol):
    """Where the answer goes."""

    head_sent: bool

    def send_head(self, head: RawHead) -> None:
        """Send the head."""

    def send_data(self, data: bytes) -> None:
        """Send a piece of the body."""

    def send_whole(self, head: RawHead, body: bytes) -> None:
        """Send a whole answer."""

    def end(self) -> None:
        """Mark the answer as complete."""

    def abort(self) -> None:
        """Break the answer off, so that it cannot look complete."""
