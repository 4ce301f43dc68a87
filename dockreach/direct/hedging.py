"""Second upstream requests, sent while the first one is silent."""

from __future__ import annotations

import enum
import math
import traceback
from collections.abc import Callable
from functools import partial
from typing import Any

import eventlet
from eventlet.queue import Empty, LightQueue

from .. import clock
from ..events import Event, log
from .http1 import ResponseError
from .upstream_request import Item, UpstreamRequest

OVERLAP_S = 0.3
"""How long two endpoints may continue the same stream, in seconds. Engines stop a request
some time after its connection was closed."""


class HedgeBarrier(enum.StrEnum):
    """Why no second upstream request is sent beside a silent one."""

    RETRY_MODE = "retry_mode"
    """The request must not run twice, or its stream cannot be resumed."""

    POSITION = "position"
    """It is not known after which event of the stream another endpoint has to begin."""

    ATTEMPTS = "attempts"
    """The route's attempts are used up."""

    QUARANTINE = "quarantine"
    RETRY_BUDGET = "retry_budget"
    NO_ENDPOINT = "no_endpoint"
    """No other endpoint serves."""

    NOT_NEEDED = "not_needed"
    """The silent one went on, or the request ended, before the second one was sent."""

    BROKEN = "broken"
    """No connection could be opened, or it broke at once."""


LASTING_BARRIERS = frozenset((HedgeBarrier.RETRY_MODE, HedgeBarrier.ATTEMPTS))
"""Barriers that stay for the rest of the request."""


class Race:
    """Reads a silent upstream request while a second one is started and read beside it.

    Args:
        first: The silent one.
        start_second: Waits for a slot, sends the request there, and returns that upstream
            request, or `None` if there is none; called in a greenlet.
        overlap_s: How long the first one is read after the second was sent, in seconds.
        has_news: Returns whether an item of the second one decides the race; another item
            is dropped.

    Attributes:
        second: The second one, once it was sent.
    """

    def __init__(
        self,
        first: UpstreamRequest,
        start_second: Callable[[], UpstreamRequest | None],
        overlap_s: float,
        has_news: Callable[[UpstreamRequest, Item], bool],
    ) -> None:
        self._has_news = has_news
        self._first = first
        self._start_second = start_second
        self._overlap_s = overlap_s
        self.second: UpstreamRequest | None = None
        self._is_second_over = False
        self._error: Exception | None = None
        self._changes = LightQueue()

    def run(self) -> None:
        """Read until one has a result, no second is to be had, or the overlap is over."""
        greenlets = [
            eventlet.spawn(self._run_first),
            eventlet.spawn(self._run_second),
        ]
        try:
            while not self._is_decided():
                self._await_change()
        finally:
            _kill_all(greenlets)
        if self._error is not None:
            raise self._error

    def _run_first(self) -> None:
        """Read the first one; an unexpected error goes to the one that waits."""
        try:
            self._first.read_ahead()
        except Exception as exc:  # noqa: BLE001
            self._error = exc
        self._changes.put(None)

    def _run_second(self) -> None:
        """Start and read the second one; an unexpected error only ends that."""
        try:
            self.second = self._start_second()
            self._is_second_over = self.second is None
            self._changes.put(None)
            if self.second is not None:
                self.second.read_ahead(partial(self._has_news, self.second))
        except Exception as exc:  # noqa: BLE001
            log(Event.INTERNAL_ERROR, repr(exc), trace=traceback.format_exc())
            if self.second is None:
                self._is_second_over = True
            else:
                self.second.result = ResponseError(f"internal error: {exc!r}")
        self._changes.put(None)

    def _is_decided(self) -> bool:
        second = self.second
        return (
            self._error is not None
            or self._is_second_over
            or self._first.result is not None
            or (second is not None and second.result is not None)
            or clock.now() >= self._overlap_until
        )

    @property
    def _overlap_until(self) -> float:
        return math.inf if self.second is None else self.second.sent_at + self._overlap_s

    def _await_change(self) -> None:
        until = self._overlap_until
        timeout_s = None if math.isinf(until) else max(until - clock.now(), 0.0)
        try:
            self._changes.get(timeout=timeout_s)
        except Empty:
            return


def _kill_all(greenlets: list[Any]) -> None:
    """Kill greenlets, also if this is interrupted."""
    while greenlets:
        try:
            greenlets.pop().kill()
        finally:
            _kill_all(greenlets)
