"""Decides whether an endpoint may be sent a request now, and if not, why and until when."""

from __future__ import annotations

import enum
import math
import random
from collections.abc import Mapping
from typing import NamedTuple

from ..rendezvous import ranked
from .cold import ALONE_WINDOW_S, ColdTolerance, most_alone, most_cold, most_warm
from .coordinators import Coordinators, Standing
from .endpoints import EndpointRow, EndpointTable
from .fleet import Service
from .jobs import Job
from .stated import SendLimit

CHOSEN_S = 0.5
"""How long the choice of the entries that may send to a cold endpoint is cached, in
seconds: entries seldom join or leave, and the choice hashes all of them per endpoint."""

EARLY_S = 0.25
"""How long before it is due the coordinator may send a request to an endpoint that
advertises a rate limit, in seconds: no scheduling round is run just for that moment."""

GRANT_EARLY_S = 1.0
"""The same for a slot that another entry granted, since that entry counts what all entries
send. A slot granted earlier than that shows that it has not received the limit yet."""


class HoldReason(enum.StrEnum):
    """Why an endpoint is sent nothing now."""

    LEAVING = "leaving"
    HALL_EMPTIED = "hall_emptied"
    RESTING = "resting"
    LIMITED = "limited"
    COLD = "cold"


class Hold(NamedTuple):
    """The reason why an endpoint is sent nothing now, and the end of the block.

    Attributes:
        until: Monotonic time at which the block may end by itself, in seconds; infinite if
            that is not known.
    """

    reason: HoldReason
    until: float = math.inf


class SendGuard:
    """Limits what endpoints are sent.

    The coordinator of a service counts the slots that it grants. An entry that decides
    independently does not know what others send: it uses its share of the rate that an
    endpoint advertises. A cold endpoint is then sent requests by a few entries only, one a
    second by each; rendezvous hashing over all known entries selects them.

    Args:
        coordinators: Says in which mode this entry assigns slots.
        endpoints: The endpoints that have slots.
        tolerance: By how much a cold endpoint's rate may be exceeded.
        rng: Draws the time at which an entry that decides independently starts to send.
    """

    def __init__(
        self,
        coordinators: Coordinators,
        endpoints: EndpointTable,
        tolerance: ColdTolerance | None = None,
        *,
        rng: random.Random | None = None,
    ) -> None:
        self._coordinators = coordinators
        self._endpoints = endpoints
        self.tolerance = tolerance or ColdTolerance()
        self._rng = rng or random.Random()
        self._services: Mapping[str, Service] = {}
        self._standings: dict[str, Standing] = {}
        self._known_at = -math.inf
        self._chosen: dict[str, bool] = {}
        self._chosen_at = -math.inf

    def declare(self, services: Mapping[str, Service]) -> None:
        """Apply the services of a configuration."""
        self._services = services

    def is_cold(self, row: EndpointRow, now: float) -> bool:
        """Return whether an endpoint is cold, or may be."""
        service = self._services.get(row.published.service)
        if service is None or not service.cold_rate:
            return False
        return row.warmth.is_cold(now, service.cold_start_s)

    def hold(self, row: EndpointRow, now: float) -> Hold | None:
        """Return why an endpoint is sent none of this entry's own requests now."""
        block = self._hold_for_good(row) or _rest(row, now) or self._limited(row, now)
        if block is None and not self.bears(row, now):
            return Hold(HoldReason.COLD)
        return block

    def holds(self, job: Job, now: float) -> dict[str, float]:
        """Return which endpoints of its service are blocked for a job for a while.

        Returns:
            Monotonic time at which the block ends, in seconds, by endpoint.
        """
        blocked = {}
        for row in self._endpoints.stated():
            if row.published.service == job.service:
                # A back-off applies only to the entry that the endpoint sent it to.
                backoff = None if job.for_peer else _rest(row, now)
                block = _longer(backoff, self._limited(row, now))
                if block is not None:
                    blocked[row.id] = block.until
        return blocked

    def hold_grant(self, row: EndpointRow, now: float) -> Hold | None:
        """Return why a slot that another entry granted is declined."""
        return self._hold_for_good(row) or _hold_grant_for_a_while(row, now)

    def grant_holds(self, service: str, now: float) -> dict[str, float]:
        """Return for how long grants of other entries are declined, for one service.

        Returns:
            Seconds, by endpoint.
        """
        blocked = {}
        for row in self._endpoints.stated():
            if row.published.service == service:
                block = _hold_grant_for_a_while(row, now)
                if block is not None:
                    blocked[row.id] = block.until - now
        return blocked

    def _hold_for_good(self, row: EndpointRow) -> Hold | None:
        if row.is_leaving:
            return Hold(HoldReason.LEAVING)
        if not self._endpoints.takes_work(row):
            return Hold(HoldReason.HALL_EMPTIED)
        return None

    def _limited(self, row: EndpointRow, now: float) -> Hold | None:
        limit = row.stated.limit
        if not limit.is_on:
            return None
        next_at = self._opens_at(row, limit, now)
        return Hold(HoldReason.LIMITED, next_at) if next_at > now else None

    def note_send(self, row: EndpointRow, now: float) -> None:
        """Count a request that this entry sends, or for which it grants a slot."""
        row.sends.note(now)
        row.stated.limit.note_send(now)

    def _opens_at(self, row: EndpointRow, limit: SendLimit, now: float) -> float:
        """Return when an endpoint with a rate limit may be sent the next request."""
        if self._standing(row.published.service, now) is not Standing.COORDINATOR:
            return self._turn_at(limit, now)
        if limit.due is None:
            # Slots granted a moment ago count against the limit too.
            limit.due = now + 1 / limit.rate
        return limit.due - EARLY_S

    def _turn_at(self, limit: SendLimit, now: float) -> float:
        """Return this entry's next turn among the entries that decide independently.

        An entry that missed its turn draws a new one at random, since all entries may lose
        their coordinator at the same moment.
        """
        each_s = 1 / limit.rate
        others_s = (self._coordinators.named - 1) * each_s
        turn_at = -math.inf if limit.due is None else limit.due + others_s
        if now > turn_at + each_s:
            turn_at = now + self._rng.random() * (others_s + each_s)
            limit.due = turn_at - others_s
        return turn_at

    def bears(self, row: EndpointRow, now: float) -> bool:
        """Return whether one more request now stays below the bound of a cold endpoint."""
        service = self._services.get(row.published.service)
        if service is None or not service.cold_rate:
            return True
        bound = self.tolerance.bound(service.cold_rate)
        is_cold = row.warmth.is_cold(now, service.cold_start_s)
        mode = self._standing(service.name, now)
        if mode is Standing.COORDINATOR:
            limit = most_cold(service.cold_rate, bound) if is_cold else most_warm(bound, 1)
            return row.sends.count(now) < limit
        if is_cold:
            is_due = not row.sends.count(now, ALONE_WINDOW_S)
            return is_due and self._is_chosen(row, most_alone(bound), now)
        entries = 1 if mode is Standing.UNSURE else self._coordinators.entries
        return row.sends.count(now) < most_warm(bound, entries)

    def _is_chosen(self, row: EndpointRow, max_senders: int, now: float) -> bool:
        """Return whether this entry is one of those that may send to a cold endpoint."""
        if not self._coordinators.is_counted:
            return False
        if now - self._chosen_at > CHOSEN_S:
            self._chosen_at = now
            self._chosen.clear()
        is_permitted = self._chosen.get(row.id)
        if is_permitted is None:
            own_name, other_names = self._coordinators.known()
            is_permitted = (
                own_name in ranked(row.id, [own_name, *other_names])[:max_senders]
            )
            self._chosen[row.id] = is_permitted
        return is_permitted

    def _standing(self, service: str, now: float) -> Standing:
        if now != self._known_at:
            self._known_at = now
            self._standings.clear()
        mode = self._standings.get(service)
        if mode is None:
            mode = self._coordinators.standing(service, now)
            self._standings[service] = mode
        return mode


def _rest(row: EndpointRow, now: float) -> Hold | None:
    until = row.stated.rest_until
    return Hold(HoldReason.RESTING, until) if until > now else None


def _hold_grant_for_a_while(row: EndpointRow, now: float) -> Hold | None:
    limit = row.stated.limit
    limited = None
    if limit.is_on and limit.due is not None and limit.due - GRANT_EARLY_S > now:
        limited = Hold(HoldReason.LIMITED, limit.due - GRANT_EARLY_S)
    return _longer(_rest(row, now), limited)


def _longer(first: Hold | None, second: Hold | None) -> Hold | None:
    """Return the block that lasts for longer; ``None`` if there is none."""
    blocks = [block for block in (first, second) if block is not None]
    return max(blocks, key=lambda block: block.until, default=None)
