"""Execution verdicts and refusal reasons of requests, with their HTTP status."""

from __future__ import annotations

import enum
from typing import NamedTuple


class Verdict(enum.StrEnum):
    """What the fleet can prove about the execution of one request."""

    NOT_RUN = "not_run"
    """Proven: no engine has run the request, and none will run it later."""

    MAY_HAVE_RUN = "may_have_run"
    """Unknown: an engine may have run the request or may still run it."""

    RAN = "ran"
    """Proven: an engine has started to run the request."""


class Reason(enum.StrEnum):
    """Why a request was refused or its response is incomplete."""

    BAD_REQUEST = "bad_request"
    BAD_KEY = "bad_key"
    TIER_NOT_ALLOWED = "tier_not_allowed"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    TOO_LARGE = "too_large"
    KEY_REUSED = "key_reused"
    """The idempotency key was used before with a different request."""

    LIMIT = "limit"
    """The organisation has reached one of its limits."""

    SHED = "shed"
    """Dropped under overload, for lack of capacity."""

    FLOOR = "floor"
    """Below the floor, the lowest tier that is accepted during an overload."""

    DEADLINE = "deadline"
    MEMORY = "memory"
    """There was no memory for its body."""

    HOPELESS = "hopeless"
    """Rejected early: it would most likely not be served in time."""

    NO_ENDPOINT = "no_endpoint"
    NO_REGION = "no_region"
    """No region is allowed to run it."""

    NOT_READY = "not_ready"
    OUTDATED = "outdated"
    """Its route or key is not known, and may have been added since the configuration was
    read."""

    STOPPING = "stopping"
    CALLER_GONE = "caller_gone"
    CALLER_STALLED = "caller_stalled"
    OPERATOR = "operator"
    """Cancelled by an operator."""

    GRANT_VOID = "grant_void"
    """The grant, an agent's permission to run it, had expired or been replaced."""

    FENCED = "fenced"
    """The agent has fenced it: it has not run it and rejects any later commit of it."""

    SUPERSEDED = "superseded"
    """A later attempt of the same request has replaced this one."""

    ENGINE_REFUSED = "engine_refused"
    ENGINE_LOST = "engine_lost"
    """The connection to the engine failed before the response was complete."""

    AGENT_UNREACHABLE = "agent_unreachable"
    AGENT_RESTARTED = "agent_restarted"
    CLAIM_UNCERTAIN = "claim_uncertain"
    """The owner of the idempotency key is unreachable or lost its state, so that an
    earlier attempt may have run."""

    ANSWER_DROPPED = "answer_dropped"
    """The agent no longer stores the part of the response that was asked for."""

    RETRY_BUDGET = "retry_budget"
    """Not run, and the limits on retries do not allow another attempt."""

    SOFTWARE_VERSION = "software_version"
    """No endpoint of the software version that began the stream can continue it."""

    INTERNAL_ERROR = "internal_error"
    """A fault of the program ended it."""

    CRASHES_ENGINES = "crashes_engines"
    """Engines crashed repeatedly when they started it; it is no longer run."""


class Refusal(NamedTuple):
    """A falsy value returned in place of a response.

    Attributes:
        verdict: Whether the request may have run.
        reason: Why the request was refused.
        detail: One sentence for the caller; empty if the reason is sufficient.
        retry_after_s: Seconds after which a retry may succeed; ``None`` if there is no
            such estimate.
    """

    verdict: Verdict
    reason: Reason
    detail: str = ""
    retry_after_s: float | None = None

    def __bool__(self) -> bool:
        """Return ``False``, so that a refusal is never mistaken for a response."""
        return False


HTTP_STATUS: dict[Reason, int] = {
    Reason.BAD_REQUEST: 400,
    Reason.BAD_KEY: 401,
    Reason.TIER_NOT_ALLOWED: 403,
    Reason.UNKNOWN_MODEL: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.TOO_LARGE: 413,
    Reason.KEY_REUSED: 422,
    Reason.LIMIT: 429,
    Reason.SHED: 503,
    Reason.FLOOR: 503,
    Reason.DEADLINE: 504,
    Reason.HOPELESS: 503,
    Reason.MEMORY: 503,
    Reason.NO_ENDPOINT: 503,
    Reason.NO_REGION: 503,
    Reason.SOFTWARE_VERSION: 503,
    Reason.CRASHES_ENGINES: 503,
    Reason.NOT_READY: 503,
    Reason.OUTDATED: 503,
    Reason.STOPPING: 503,
    Reason.CALLER_STALLED: 408,
    Reason.OPERATOR: 409,
}
"""HTTP status by reason; `DEFAULT_HTTP_STATUS` applies to reasons not listed here."""

DEFAULT_HTTP_STATUS = 502


def http_status(reason: Reason) -> int:
    """Return the HTTP status of a refusal with the given reason."""
    return HTTP_STATUS.get(reason, DEFAULT_HTTP_STATUS)
