"""Applies the platform's endpoint list, and cleans up after endpoints that are gone.

Load pattern: engines crash one after another and restart under the same ids while requests
are in flight, and all are missing from the list for a moment when the platform recovers.
"""

from __future__ import annotations

from .. import clock
from ..events import Event, log
from .context import Context
from .endpoints import EndpointRow, Published, PublishResult

STORE_SOURCE = "store"
"""Source, in log events, of what this entry read from the platform itself."""

GRACE_PERIOD_SOURCE = "grace period"
"""Source, in log events, of the removal of an endpoint whose grace period has ended."""

LAPSE_GRACE_S = 2.2
"""How long endpoints whose registration expired during a platform outage are kept, in
seconds. According to the platform, endpoints that still run are listed again about two
seconds after it has recovered."""


class EndpointSync:
    """Applies the platform's endpoint list to the table of endpoints.

    Args:
        ctx: State shared by all requests of the entry.
    """

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx

    def apply(self, published: Published, *, source: str = STORE_SOURCE) -> None:
        """Add an endpoint, or update its row.

        Args:
            published: The platform's record of it.
            source: The peer whose view holds the record, or `STORE_SOURCE`.
        """
        row = self._ctx.endpoints.last_incarnation(published.id)
        was_leaving = row is not None and row.published.leaving
        old_version = row and row.published.software_version
        result = self._ctx.endpoints.publish(published, clock.now())
        if result is PublishResult.STALE:
            return
        if row is not None and old_version != published.software_version:
            self._ctx.streams.handle_version_change(published.id)
        if result is PublishResult.NEW_INCARNATION and row is not None:
            self._abort_incarnation(row)
        if result is not PublishResult.CHANGED or was_leaving != published.leaving:
            log(
                Event.ENDPOINT_PUBLISHED,
                endpoint=published.id,
                service=published.service,
                leaving=published.leaving,
                cold_s=published.cold_s,
                version=published.software_version,
                source=source,
            )
        self._ctx.scheduler.run_round()

    def remove(
        self, endpoint: str, *, after_outage: bool = False, source: str = STORE_SOURCE
    ) -> None:
        """Remove an endpoint that the platform no longer lists.

        Args:
            endpoint: Its id.
            after_outage: Whether its registration may only have expired during a platform
                outage; it is then kept for a grace period.
            source: The peer whose view says so, `STORE_SOURCE` or `GRACE_PERIOD_SOURCE`.
        """
        row = self._ctx.endpoints.get(endpoint)
        if row is None:
            return
        if after_outage and not row.is_leaving:
            if row.lapsed_until is None:
                row.lapsed_until = clock.now() + LAPSE_GRACE_S
                log(
                    Event.ENDPOINT_LAPSED,
                    endpoint=endpoint,
                    grace_s=LAPSE_GRACE_S,
                    source=source,
                )
            return
        if self._ctx.endpoints.remove(endpoint):
            self._ctx.pool.close_idle(row.published.address)
            log(
                Event.ENDPOINT_GONE,
                endpoint=endpoint,
                under_way=row.in_flight_here,
                source=source,
            )
            self._ctx.crashes.handle_incarnation_end(row)

    def apply_all(
        self,
        published: list[Published],
        *,
        after_outage: bool = False,
        source: str = STORE_SOURCE,
    ) -> None:
        """Replace the list of endpoints.

        Args:
            published: All endpoints that the platform lists.
            after_outage: Whether running endpoints may be missing from the list.
            source: The peer whose view holds the list, or `STORE_SOURCE`.
        """
        listed = {item.id for item in published}
        for item in published:
            self.apply(item, source=source)
        for row in self._ctx.endpoints:
            if row.id not in listed:
                self.remove(row.id, after_outage=after_outage, source=source)

    def expire_lapsed(self, now: float) -> None:
        """Remove lapsed endpoints that were not listed again within the grace period."""
        for row in self._ctx.endpoints:
            if row.lapsed_until is not None and now >= row.lapsed_until:
                self.remove(row.id, source=GRACE_PERIOD_SOURCE)

    def _abort_incarnation(self, row: EndpointRow) -> None:
        """Abort the requests that an endpoint was processing before it restarted.

        Otherwise each of their callers would wait until its deadline or its own timeout.
        """
        log(Event.ENDPOINT_REBORN, endpoint=row.id, under_way=len(row.connections))
        self._ctx.crashes.handle_incarnation_end(row)
        for conn in list(row.connections):
            conn.abort()
        self._ctx.pool.close_idle(row.published.address)
