"""Which endpoint a job goes to: the shortest expected time among those with a place."""

from __future__ import annotations

import enum

from .endpoints import EndpointRow, EndpointTable
from .jobs import Job

EXTRA = 1
"""Requests that an endpoint is given beyond its places. One that waits there starts when a
place comes free; otherwise the place stands empty for a round trip, or until others have
told that it is free. Two were worse in trials: they wait behind the wrong ones."""

HALL_S = 0.002
"""Cost of an endpoint in another data hall, in seconds: a round trip, and bytes that are
priced."""

CROWD = 0.6
"""How much a full endpoint slows each of its requests, beside an empty one."""

PREFIX_S = 2e-5
"""Gain of a prompt token that an endpoint has in its cache, in seconds: about what an
engine takes to read it."""

MAKING_PART = 0.1
"""How much a stream's later events count against its first one: they need only be made
before the deadline."""

IN_TIME_PART = 0.8
"""Part of the time that is left within which a stream should end; the rest covers what
other requests' prompts hold up."""

KEPT_SHARE = 0.12
"""Part of an engine's places that a tier leaves to each higher one. A low tier's chat holds
a place three times as long as a high tier's draft, at a twentieth of its worth."""

KEPT_FOR_S = 5.0
"""How long after a request of a higher tier places are kept for others like it, in
seconds."""


class Choice(enum.StrEnum):
    """How an endpoint is chosen."""

    PLAIN = "plain"
    """The fewest of this entry's own requests for its places; the baseline."""

    MEASURED = "measured"
    """The shortest expected time, with all entries' requests counted."""


class Chooser:
    """Chooses among a service's endpoints.

    Args:
        endpoints: Where jobs can be placed.
        hall: The data hall of this entry.
        choice: How endpoints are chosen.
        extra: Requests that an endpoint is given beyond its places.
    """

    def __init__(
        self, endpoints: EndpointTable, hall: str, choice: Choice, *, extra: int = EXTRA
    ) -> None:
        self._endpoints = endpoints
        self._hall = hall
        self._choice = choice
        self._extra = extra
        self._seen: dict[str, dict[int, float]] = {}

    def note(self, job: Job) -> None:
        """Note that a job came: lower tiers leave places for others like it."""
        self._seen.setdefault(job.service, {})[job.route.tier] = job.arrived

    def choose(self, job: Job, now: float) -> EndpointRow | None:
        """Return the endpoint for a job; ``None`` if all are full."""
        usable = self._endpoints.usable(job.service, now)
        fresh = [row for row in usable if row.id not in job.tried]
        if self._choice is Choice.PLAIN:
            return min(fresh or usable, key=_own_load, default=None)
        higher = self._higher_tiers(job, now)
        in_time = _in_time(job, fresh, now)
        free = [
            row for row in in_time if row.free + self._extra > _kept_places(row, higher)
        ]
        return min(free, key=lambda row: self._cost_s(job, row, now), default=None)

    def _higher_tiers(self, job: Job, now: float) -> int:
        """Return how many higher tiers had streams for the same service lately."""
        if not job.route.is_stream:
            return 0
        return sum(tier < job.route.tier for tier in self._tiers_lately(job, now))

    def _tiers_lately(self, job: Job, now: float) -> list[int]:
        seen = self._seen.get(job.service, {})
        return [tier for tier, last in seen.items() if now - last < KEPT_FOR_S]

    def _cost_s(self, job: Job, row: EndpointRow, now: float) -> float:
        """Return the expected time of a job at an endpoint, in seconds."""
        slots = max(row.published.slots, 1)
        crowd = 1 + CROWD * (row.own + row.others) / slots
        cost = HALL_S if row.published.hall != self._hall else 0.0
        if not job.route.is_stream:
            return cost + row.plain_s * crowd
        first = row.first_token_s(job.prompt_tokens) * crowd
        making = job.events * row.gap_s * MAKING_PART
        return cost + first + making - _kept_tokens(job, row, now) * PREFIX_S


def _in_time(job: Job, rows: list[EndpointRow], now: float) -> list[EndpointRow]:
    """Return the endpoints that are likely to end a stream before it is given up.

    Where none is, all are returned: a guess of the length may be far off.
    """
    if not job.route.is_stream:
        return rows
    left_s = (job.ends - now) * IN_TIME_PART
    quick = [row for row in rows if row.stream_s(job.prompt_tokens, job.events) <= left_s]
    return quick or rows


def _kept_places(row: EndpointRow, higher_tiers: int) -> int:
    return round(row.published.slots * KEPT_SHARE * higher_tiers)


def _own_load(row: EndpointRow) -> float:
    return row.own / max(row.published.slots, 1)


def _kept_tokens(job: Job, row: EndpointRow, now: float) -> int:
    """Return the prompt tokens that an endpoint is likely to have in its cache."""
    kept = 0
    for part, tokens in job.prefix:
        if not row.is_kept(part, now):
            break
        kept += tokens
    return kept
