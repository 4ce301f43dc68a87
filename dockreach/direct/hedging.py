"""Second upstream requests, sent while the first one is silent."""

from __future__ import annotations

import enum


class HedgeBarrier(enum.StrEnum):
    """Why no second upstream request is sent beside a silent one."""

    RETRY_MODE = "retry_mode"
    """The request must not run twice, or its stream cannot be resumed."""

    ATTEMPTS = "attempts"
    """The route's attempts are used up."""

    QUARANTINE = "quarantine"
    RETRY_BUDGET = "retry_budget"
    NO_ENDPOINT = "no_endpoint"
    """No other endpoint is free."""


LASTING_BARRIERS = frozenset((HedgeBarrier.RETRY_MODE, HedgeBarrier.ATTEMPTS))
"""Barriers that stay for the rest of the request."""
