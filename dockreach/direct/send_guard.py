"""Decides whether an endpoint may be sent a request now, and if not, why and until when."""

from __future__ import annotations

import enum
import math
import random
from collections.abc import Mapping
from typing import NamedTuple

from ..rendezvous import ranked
from .advertised_state import RateLimit
from .coordinator_selection import CoordinationMode, CoordinatorSelector
from .endpoints import EndpointRow, EndpointTable
from .jobs import Job
from .routing_config import Service
from .warm_up import (
    INDEPENDENT_WINDOW_S,
    ColdTolerance,
    max_cold,
    max_independent,
    max_warm,
)

SENDER_CHOICE_TTL_S = 0.5
"""How long the choice of the entries that may send to a cold endpoint is cached, in
seconds: entries seldom join or leave, and the choice hashes all of them per endpoint."""

COORDINATOR_EARLY_S = 0.25
"""How long before it is due the coordinator may send a request to an endpoint that
advertises a rate limit, in seconds: no scheduling round is run just for that moment."""

GRANT_EARLY_S = 1.0
"""The same for a slot that another entry granted, since that entry counts what all entries
send. A slot granted earlier than that shows that it has not received the limit yet."""


class BlockReason(enum.StrEnum):
    """Why an endpoint is sent nothing now."""

    LEAVING = "leaving"
    HALL_EVACUATED = "hall_emptied"
    BACKOFF = "resting"
    RATE_LIMITED = "limited"
    COLD = "cold"


class SendBlock(NamedTuple):
    """The reason why an endpoint is sent nothing now, and the end of the block.

    Attributes:
        until: Monotonic time at which the block may end by itself, in seconds; infinite if
            that is not known.
    """

    reason: BlockReason
    until: float = math.inf


class SendGuard:
    """Limits what endpoints are sent.

    The coordinator of a service counts the slots that it grants. An entry that decides
    independently does not know what others send: it uses its share of the rate that an
    endpoint advertises. A cold endpoint is then sent requests by a few entries only, one a
    second by each; rendezvous hashing over all known entries selects them.

    Args:
        coordinator_selector: Says in which mode this entry assigns slots.
        endpoints: The endpoints that have slots.
        tolerance: By how much a cold endpoint's rate may be exceeded.
        rng: Draws the time at which an entry that decides independently starts to send.
    """

    def __init__(
        self,
        coordinator_selector: CoordinatorSelector,
        endpoints: EndpointTable,
        tolerance: ColdTolerance | None = None,
        *,
        rng: random.Random | None = None,
    ) -> None:
        self._coordinator_selector = coordinator_selector
        self._endpoints = endpoints
        self.tolerance = tolerance or ColdTolerance()
        self._rng = rng or random.Random()
        self._services: Mapping[str, Service] = {}
        self._modes: dict[str, CoordinationMode] = {}
        self._modes_at = -math.inf
        self._permitted: dict[str, bool] = {}
        self._permitted_at = -math.inf

    def apply_services(self, services: Mapping[str, Service]) -> None:
        """Apply the services of a configuration."""
        self._services = services

    def is_cold(self, row: EndpointRow, now: float) -> bool:
        """Return whether an endpoint is cold, or may be."""
        service = self._services.get(row.published.service)
        if service is None or not service.cold_rate:
            return False
        return row.warm_up.is_cold(now, service.cold_start_s)

    def send_block(self, row: EndpointRow, now: float) -> SendBlock | None:
        """Return why an endpoint is sent none of this entry's own requests now."""
        block = (
            self._permanent_block(row)
            or _backoff_block(row, now)
            or self._rate_limit_block(row, now)
        )
        if block is None and not self.has_budget(row, now):
            return SendBlock(BlockReason.COLD)
        return block

    def blocked_until(self, job: Job, now: float) -> dict[str, float]:
        """Return which endpoints of its service are blocked for a job for a while.

        Returns:
            Monotonic time at which the block ends, in seconds, by endpoint.
        """
        blocked = {}
        for row in self._endpoints.advertising():
            if row.published.service == job.service:
                # A back-off applies only to the entry that the endpoint sent it to.
                backoff = None if job.for_peer else _backoff_block(row, now)
                block = _longer_block(backoff, self._rate_limit_block(row, now))
                if block is not None:
                    blocked[row.id] = block.until
        return blocked

    def grant_block(self, row: EndpointRow, now: float) -> SendBlock | None:
        """Return why a slot that another entry granted is declined."""
        return self._permanent_block(row) or _temporary_grant_block(row, now)

    def grants_blocked_s(self, service: str, now: float) -> dict[str, float]:
        """Return for how long grants of other entries are declined, for one service.

        Returns:
            Seconds, by endpoint.
        """
        blocked = {}
        for row in self._endpoints.advertising():
            if row.published.service == service:
                block = _temporary_grant_block(row, now)
                if block is not None:
                    blocked[row.id] = block.until - now
        return blocked

    def _permanent_block(self, row: EndpointRow) -> SendBlock | None:
        if row.is_leaving:
            return SendBlock(BlockReason.LEAVING)
        if not self._endpoints.accepts_work(row):
            return SendBlock(BlockReason.HALL_EVACUATED)
        return None

    def _rate_limit_block(self, row: EndpointRow, now: float) -> SendBlock | None:
        limit = row.advertised.limit
        if not limit.is_active:
            return None
        next_at = self._next_send_at(row, limit, now)
        return SendBlock(BlockReason.RATE_LIMITED, next_at) if next_at > now else None

    def record_send(self, row: EndpointRow, now: float) -> None:
        """Count a request that this entry sends, or for which it grants a slot."""
        row.recent_sends.record(now)
        row.advertised.limit.record_send(now)

    def _next_send_at(self, row: EndpointRow, limit: RateLimit, now: float) -> float:
        """Return when an endpoint with a rate limit may be sent the next request."""
        if self._mode(row.published.service, now) is not CoordinationMode.COORDINATOR:
            return self._turn_at(limit, now)
        if limit.next_due is None:
            # Slots granted a moment ago count against the limit too.
            limit.next_due = now + 1 / limit.send_rate
        return limit.next_due - COORDINATOR_EARLY_S

    def _turn_at(self, limit: RateLimit, now: float) -> float:
        """Return this entry's next turn among the entries that decide independently.

        An entry that missed its turn draws a new one at random, since all entries may lose
        their coordinator at the same moment.
        """
        each_s = 1 / limit.send_rate
        others_s = (self._coordinator_selector.entry_count_with_unseen - 1) * each_s
        turn_at = -math.inf if limit.next_due is None else limit.next_due + others_s
        if now > turn_at + each_s:
            turn_at = now + self._rng.random() * (others_s + each_s)
            limit.next_due = turn_at - others_s
        return turn_at

    def has_budget(self, row: EndpointRow, now: float) -> bool:
        """Return whether one more request now stays below the bound of a cold endpoint."""
        service = self._services.get(row.published.service)
        if service is None or not service.cold_rate:
            return True
        bound = self.tolerance.bound(service.cold_rate)
        is_cold = row.warm_up.is_cold(now, service.cold_start_s)
        mode = self._mode(service.name, now)
        if mode is CoordinationMode.COORDINATOR:
            limit = max_cold(service.cold_rate, bound) if is_cold else max_warm(bound, 1)
            return row.recent_sends.count(now) < limit
        if is_cold:
            is_due = not row.recent_sends.count(now, INDEPENDENT_WINDOW_S)
            return is_due and self._is_permitted_sender(row, max_independent(bound), now)
        entries = (
            1
            if mode is CoordinationMode.UNCERTAIN
            else self._coordinator_selector.entry_count
        )
        return row.recent_sends.count(now) < max_warm(bound, entries)

    def _is_permitted_sender(self, row: EndpointRow, max_senders: int, now: float) -> bool:
        """Return whether this entry is one of those that may send to a cold endpoint."""
        if not self._coordinator_selector.is_entry_count_known:
            return False
        if now - self._permitted_at > SENDER_CHOICE_TTL_S:
            self._permitted_at = now
            self._permitted.clear()
        is_permitted = self._permitted.get(row.id)
        if is_permitted is None:
            own_name, other_names = self._coordinator_selector.entry_names()
            is_permitted = (
                own_name in ranked(row.id, [own_name, *other_names])[:max_senders]
            )
            self._permitted[row.id] = is_permitted
        return is_permitted

    def _mode(self, service: str, now: float) -> CoordinationMode:
        if now != self._modes_at:
            self._modes_at = now
            self._modes.clear()
        mode = self._modes.get(service)
        if mode is None:
            mode = self._coordinator_selector.mode(service, now)
            self._modes[service] = mode
        return mode


def _backoff_block(row: EndpointRow, now: float) -> SendBlock | None:
    until = row.advertised.backoff_until
    return SendBlock(BlockReason.BACKOFF, until) if until > now else None


def _temporary_grant_block(row: EndpointRow, now: float) -> SendBlock | None:
    limit = row.advertised.limit
    limited = None
    if (
        limit.is_active
        and limit.next_due is not None
        and limit.next_due - GRANT_EARLY_S > now
    ):
        limited = SendBlock(BlockReason.RATE_LIMITED, limit.next_due - GRANT_EARLY_S)
    return _longer_block(_backoff_block(row, now), limited)


def _longer_block(first: SendBlock | None, second: SendBlock | None) -> SendBlock | None:
    """Return the block that lasts for longer; ``None`` if there is none."""
    blocks = [block for block in (first, second) if block is not None]
    return max(blocks, key=lambda block: block.until, default=None)
