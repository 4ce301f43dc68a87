"""Whether an endpoint may be sent one more request without falling over cold."""

from __future__ import annotations

import math
from collections.abc import Mapping

from ..rendezvous import ranked
from .cold import ALONE_WINDOW_S, ColdTolerance, most_alone, most_cold, most_warm
from .coordinators import Coordinators, Standing
from .endpoints import EndpointRow
from .fleet import Service

CHOSEN_S = 0.5
"""How long it is kept who may send to a cold endpoint, in seconds: entries come and go
seldom, and hashing all of 300 takes 0.3 ms for each endpoint."""


class ColdGuard:
    """Bounds what endpoints are sent in a second.

    The coordinator of a service counts what it gives out. An entry that decides alone does
    not know what others send: a cold endpoint then takes requests of a few entries only,
    one a second of each, chosen by rendezvous hashing over all that are known.

    Args:
        coordinators: Say in which standing this entry decides.
        tolerance: By how much a cold endpoint's rate may be exceeded.
    """

    def __init__(self, coordinators: Coordinators, tolerance: ColdTolerance) -> None:
        self._coordinators = coordinators
        self.tolerance = tolerance
        self._services: Mapping[str, Service] = {}
        self._standings: dict[str, Standing] = {}
        self._known_at = -math.inf
        self._chosen: dict[str, bool] = {}
        self._chosen_at = -math.inf

    def declare(self, services: Mapping[str, Service]) -> None:
        """Take in the services of a configuration."""
        self._services = services

    def is_cold(self, row: EndpointRow, now: float) -> bool:
        """Return whether an endpoint has to be taken for cold."""
        service = self._services.get(row.published.service)
        if service is None or not service.cold_rate:
            return False
        return row.warmth.is_cold(now, service.cold_start_s)

    def admits(self, row: EndpointRow, now: float) -> bool:
        """Return whether an endpoint may be sent one more request now."""
        service = self._services.get(row.published.service)
        if service is None or not service.cold_rate:
            return True
        bound = self.tolerance.bound(service.cold_rate)
        is_cold = row.warmth.is_cold(now, service.cold_start_s)
        standing = self._standing(service.name, now)
        if standing is Standing.COORDINATOR:
            most = most_cold(service.cold_rate, bound) if is_cold else most_warm(bound, 1)
            return row.sends.count(now) < most
        if is_cold:
            is_due = not row.sends.count(now, ALONE_WINDOW_S)
            return is_due and self._is_chosen(row, most_alone(bound), now)
        entries = 1 if standing is Standing.UNSURE else self._coordinators.entries
        return row.sends.count(now) < most_warm(bound, entries)

    def _is_chosen(self, row: EndpointRow, most: int, now: float) -> bool:
        """Return whether this entry is among those that may send to a cold endpoint."""
        if not self._coordinators.is_counted:
            return False
        if now - self._chosen_at > CHOSEN_S:
            self._chosen_at = now
            self._chosen.clear()
        found = self._chosen.get(row.id)
        if found is None:
            own, others = self._coordinators.known()
            found = own in ranked(row.id, [own, *others])[:most]
            self._chosen[row.id] = found
        return found

    def _standing(self, service: str, now: float) -> Standing:
        if now != self._known_at:
            self._known_at = now
            self._standings.clear()
        found = self._standings.get(service)
        if found is None:
            found = self._coordinators.standing(service, now)
            self._standings[service] = found
        return found
