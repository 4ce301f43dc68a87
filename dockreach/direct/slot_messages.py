"""The datagrams between an entry and the coordinator that grants it slots of a service.

Each state replaces the one before it, and the coordinator repeats its decisions until a
state shows that they were received, so that a lost or late datagram only costs time.
"""

from __future__ import annotations

import enum
import math
from typing import Any

import msgspec

from .digest import Address


class SampleKind(enum.IntEnum):
    """What was measured of an endpoint, or observed at it."""

    FIRST_EVENT = 0
    """Time to a stream's first event, for a number of prefilled prompt tokens."""

    GAP = 1
    """Mean time between events of a stream."""

    PLAIN = 2
    """Duration of a plain request."""

    FAILED = 3
    """An upstream attempt failed."""

    ADDRESS_REUSED = 4
    """Another endpoint responds at its address."""

    UNREACHABLE = 5
    """No connection could be established."""


class Sample(msgspec.Struct, array_like=True, frozen=True):
    """One measurement of an endpoint.

    Attributes:
        tokens: Prompt tokens that were prefilled, for a time to a first event.
        seconds: The measured time; 0 for a failure.
        born: Start time of the endpoint's incarnation, in Unix milliseconds; 0 if the
            platform doesn't report it.
        percent: How long work took there meanwhile, in percent of the usual; 0 if that is
            not known. `seconds` is the time as measured.
    """

    endpoint: str
    kind: SampleKind
    tokens: int = 0
    seconds: float = 0.0
    born: int = 0
    percent: float = 0.0


class WaitingJob(msgspec.Struct, array_like=True):
    """A request that waits for a slot. Times are relative to the sending of the state.

    Attributes:
        number: Number of the job at its entry, never reused.
        rank: Order among waiting jobs; the lowest goes first.
        expected_events: Number of events that its response is likely to have.
        age_s: Time since it arrived, in seconds.
        earlier_age_s: The same as `age_s`, for coordinators of an earlier version.
        queue_timeout_s: Time until the latest moment at which its work can begin and still
            be of use to its caller, in seconds.
        time_left_s: Time until the caller or the route's timeout abandons it, in seconds.
        is_admitted: Whether a coordinator has left it waiting before.
        tried_endpoints: Endpoints that it was sent to before, or that it cannot use.
        allowed_halls: Data halls in which it may run; ``None`` for all.
        blocked_s: For how long its entry declines slots of some endpoints, in seconds, by
            endpoint.
        organisation: Name of the organisation that sent it; empty for none.
        hall: Data hall of the sending entry.
        unused: Empty; clients of an earlier version send the request's fingerprint.
        caller_time_left_s: Time until the caller itself gives up, in seconds, without the
            route's timeout; infinite if the caller sent none.
        software_version: Software version that the endpoint must have; ``None`` for any.
    """

    number: int
    route: str
    rank: tuple[int, ...]
    prompt_tokens: int
    expected_events: float
    prefix: tuple[tuple[str, int], ...]
    age_s: float
    earlier_age_s: float
    queue_timeout_s: float
    time_left_s: float
    is_admitted: bool
    tried_endpoints: list[str]
    allowed_halls: list[str] | None = None
    blocked_s: dict[str, float] = {}
    organisation: str = ""
    hall: str = ""
    unused: bytes = b""
    caller_time_left_s: float = math.inf
    software_version: str | None = None


class HeldJob(msgspec.Struct, array_like=True):
    """A request that holds a slot.

    Attributes:
        prefill_tokens: Prompt tokens that the endpoint still has to prefill for it.
        organisation: Name of the organisation that sent it; empty for none.
        route: Name of its route.
        prompt_tokens: Tokens of its prompt.
        expected_events: Number of events that its response is likely to have by its
            caller's estimate; 0 without one.
        events: Events received so far.
        age_s: Time since it got the slot, in seconds.
    """

    number: int
    endpoint: str
    prefill_tokens: int
    organisation: str = ""
    route: str = ""
    prompt_tokens: int = 0
    expected_events: float = 0.0
    events: int = 0
    age_s: float = 0.0


class RecentSend(msgspec.Struct, array_like=True):
    """A request that was recently sent to an endpoint.

    Attributes:
        age_s: Time from sending it until sending the state, in seconds.
    """

    endpoint: str
    age_s: float


class LoadReport(msgspec.Struct, array_like=True):
    """The load that an endpoint reported in a response.

    Attributes:
        percent: How long work takes there at the moment, in percent of the usual; 0 if it
            does not report that.
        age_s: Time from receiving it until sending the state, in seconds.
        born: As in `Sample`.
    """

    endpoint: str
    running: int
    waiting: int
    slots: int
    percent: int
    age_s: float
    born: int = 0


class SlotState(msgspec.Struct, array_like=True, tag=2):
    """All jobs of an entry that wait for slots of one service or hold them.

    Attributes:
        incarnation: A random number, drawn at each start of the sender.
        number: Number of the state; rises with each state.
        samples: What the sender measured since its last state.
        recent_sends: Recent requests of the sender to endpoints, for a coordinator that has
            not replied to it yet.
        unused: Empty; entries of an earlier version report refusals.
        loads: The latest loads that endpoints reported to the sender.
    """

    address: Address
    incarnation: int
    number: int
    service: str
    waiting: list[WaitingJob]
    held: list[HeldJob]
    samples: list[Sample]
    recent_sends: list[RecentSend] = []
    unused: list[Any] = []
    loads: list[LoadReport] = []


class Grant(msgspec.Struct, array_like=True):
    """The grant of a slot to a job.

    Attributes:
        number: Number of the job at its entry.
        prefill_tokens: Prompt tokens that the endpoint has to prefill for the job.
        prefill_ahead: Prompt tokens that it has to prefill before those.
        found_free_slot: Whether a slot was free, as far as was known.
        unused_age_s: 0; coordinators of an earlier version tell the age of a first attempt.
        unused_kind: 0; these tell what is known of that attempt.
        load_percent: How long work took at the endpoint, in percent of the usual, as the
            coordinator knew it; 0 if it did not.
    """

    number: int
    endpoint: str
    prefill_tokens: int
    prefill_ahead: int
    found_free_slot: bool
    unused_age_s: float = 0.0
    unused_kind: int = 0
    load_percent: int = 0


class Denial(msgspec.Struct, array_like=True):
    """The refusal of a job.

    Attributes:
        number: Number of the job at its entry.
        reason: Value of a `Reason`.
        retry_after_s: Seconds after which a retry is useful; ``None`` if it is not.
    """

    number: int
    reason: str
    detail: str
    retry_after_s: float | None


class SlotReply(msgspec.Struct, array_like=True, tag=3):
    """The decisions on the jobs of a state. Jobs without a decision keep waiting.

    Attributes:
        address: Address of the coordinator, which sends the reply.
        incarnation: Incarnation of the entry that sent the state.
        number: Number of that entry's latest state.
    """

    address: Address
    incarnation: int
    number: int
    service: str
    grants: list[Grant]
    denials: list[Denial]
