"""A caller's request and an endpoint's response, independent of a platform's headers."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import NamedTuple

from .notice import NO_NOTICE, EndpointNotice, InvalidValue

Header = tuple[bytes, bytes]


@dataclass(slots=True)
class InboundRequest:
    """A complete request of a caller.

    Attributes:
        rid: The caller's id for this attempt; empty if it sent none.
        target: Path and query as they were sent.
        headers: All headers as sent, in order, including repeated ones.
        key: The caller's API key; empty if it sent none.
        deadline_s: How long the caller waits from `arrived_at`, in seconds; ``None`` if it
            sent no deadline.
        prompt_tokens: Tokens of the prompt; 0 if not given.
        max_output_tokens: Upper limit of the generated tokens; 0 if not given.
        expected_output_tokens: The caller's estimate of the generated tokens; 0 if not
            given. It is right in the median and often far off.
        has_token_counts: Whether the caller sent token counts.
        prefix: Ids and token counts of the prompt's parts, in order.
        last_event_id: Id of the last event that the caller has; empty if it sent none.
        arrived_at: Monotonic time at which it was complete, in seconds.
        stream_rid: Id of the attempt that brought the first event of the stream that it
            continues; empty if the caller did not name one.
    """

    rid: str
    method: bytes
    target: bytes
    host: str
    headers: list[Header]
    body: bytes
    key: str
    deadline_s: float | None
    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int
    has_token_counts: bool
    prefix: tuple[tuple[str, int], ...]
    last_event_id: str
    arrived_at: float
    has_body: bool = True
    stream_rid: str = ""

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the prompt's parts without the last, which is the request's own."""
        return tuple(part for part, _ in self.prefix[:-1])

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.decode("latin-1").split("?", 1)[0]


class ExecutionStatus(enum.Enum):
    """Whether the endpoint ran the request, according to the response head."""

    RAN = "ran"
    """It ran the request, or does not prove that it has not."""

    NOT_RUN = "not_run"
    MISDIRECTED = "other_endpoint"
    """Another endpoint uses the address now; it has not run the request."""


class Responder(enum.Enum):
    """Whose response to a health check it is."""

    EXPECTED = "expected"
    """The endpoint's that was asked."""

    OTHER = "other"
    """Another endpoint's, which uses the address now."""

    UNNAMED = "unnamed"
    """Of an endpoint that does not say which one it is."""

    FAILURE = "failure"
    """A failure that names no endpoint, like that of a proxy whose engine has exited."""


class HealthResponse(NamedTuple):
    """What the head of a response to a health check says.

    Attributes:
        keep_alive_s: How long the endpoint keeps the idle connection open, in seconds;
            ``None`` if not given.
    """

    responder: Responder
    keep_alive_s: float | None


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """The load that an endpoint reports in a response.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait there.
        percent: How long work takes there at the moment, in percent of the usual; 0 if it
            does not report that.
    """

    running: int
    waiting: int
    slots: int
    percent: int = 0


@dataclass(slots=True)
class ResponseHead:
    """Status and headers of an endpoint's response.

    Attributes:
        is_misdirection: Whether it says, with proof or without, that the request was meant
            for another endpoint; then what it reports is not of the one meant.
        load: Load that the endpoint reports; ``None`` if it reports none. Requests are
            counted by it only while peers are silent: otherwise their digests are fresher.
        rid: Id of the request that the response belongs to; empty if not given.
        keep_alive_s: How long the endpoint keeps the idle connection open, in seconds;
            ``None`` if not given.
        notice: Other status headers of the endpoint.
        names_other: Whether it names another endpoint than the one that the request was
            meant for: the record lags behind the process at its address.
    """

    status: int
    reason: bytes
    headers: list[Header]
    rid: str
    execution_status: ExecutionStatus
    is_misdirection: bool
    load: ReportedLoad | None | InvalidValue
    keep_alive_s: float | None
    notice: EndpointNotice = NO_NOTICE
    names_other: bool = False
