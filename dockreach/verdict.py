"""Whether a request may have run, and why a request was not answered."""

from __future__ import annotations

import enum
from typing import NamedTuple


class Verdict(enum.StrEnum):
    """What is known about the execution of one request."""

    NOT_RUN = "not_run"
    """Proved: no engine has run the request, and none will."""

    MAY_HAVE_RUN = "may_have_run"
    """Unknown: an engine may have run the request, or may yet."""

    RAN = "ran"
    """An engine has started the request."""


class Reason(enum.StrEnum):
    """The cause of a refusal or of an answer that is not whole."""

    BAD_REQUEST = "bad_request"
    BAD_KEY = "bad_key"
    TIER_NOT_ALLOWED = "tier_not_allowed"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    TOO_LARGE = "too_large"
    KEY_REUSED = "key_reused"
    LIMIT = "limit"
    SHED = "shed"
    FLOOR = "floor"
    DEADLINE = "deadline"
    HOPELESS = "hopeless"
    NO_ENDPOINT = "no_endpoint"
    NO_REGION = "no_region"
    NOT_READY = "not_ready"
    STOPPING = "stopping"
    CALLER_GONE = "caller_gone"
    CALLER_STALLED = "caller_stalled"
    OPERATOR = "operator"
    GRANT_VOID = "grant_void"
    FENCED = "fenced"
    SUPERSEDED = "superseded"
    ENGINE_REFUSED = "engine_refused"
    ENGINE_LOST = "engine_lost"
    AGENT_UNREACHABLE = "agent_unreachable"
    AGENT_RESTARTED = "agent_restarted"
    CLAIM_UNCERTAIN = "claim_uncertain"
    ANSWER_DROPPED = "answer_dropped"
    RETRY_BUDGET = "retry_budget"
    CRASHES_ENGINES = "crashes_engines"
    """Engines ended as they began to run it, time after time; it is not run any more."""


class Refusal(NamedTuple):
    """A sentinel value that stands where an answer would have stood.

    Attributes:
        verdict: Whether the request may have run.
        reason: Why it is not answered.
        detail: One sentence for the caller; empty if the reason says it all.
        retry_after_s: Seconds after which a retry is useful; ``None`` if it is not.
    """

    verdict: Verdict
    reason: Reason
    detail: str = ""
    retry_after_s: float | None = None

    def __bool__(self) -> bool:
        """Return ``False``, so that a refusal never passes for an answer."""
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
    Reason.NO_ENDPOINT: 503,
    Reason.NO_REGION: 503,
    Reason.CRASHES_ENGINES: 503,
    Reason.NOT_READY: 503,
    Reason.STOPPING: 503,
    Reason.CALLER_STALLED: 408,
    Reason.OPERATOR: 409,
}
"""HTTP status of a refusal; a reason not listed here answers `DEFAULT_STATUS`."""

DEFAULT_STATUS = 502


def http_status(reason: Reason) -> int:
    """Return the HTTP status that a caller sees for a reason."""
    return HTTP_STATUS.get(reason, DEFAULT_STATUS)
