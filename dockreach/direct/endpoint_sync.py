"""Applies the platform's endpoint list, and cleans up after endpoints that are gone.

Load pattern: engines crash one after another and restart under the same ids while requests
are in flight, and all are missing from the list for a moment when the platform recovers.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from .. import clock
from ..events import Event, log
from .context import Context
from .endpoints import EndpointRow, Published, PublishResult
from .feeds import Feed
from .lapses import LAPSE_GRACE_S, answered_periods, grace_end
from .loops import log_internal_error
from .peers import PeerTable
from .record_checks import RecordError, RecordFault, check_record
from .record_refusals import RecordRefusals

STORE_SOURCE = "store"
"""Source, in log events, of what this entry read from the platform itself."""

GRACE_PERIOD_SOURCE = "grace period"
"""Source, in log events, of the removal of an endpoint whose grace period has ended."""


REAPPLY_INTERVAL_S = 1.0
"""Time until a record is applied again after an unexpected error, in seconds."""


@dataclass(frozen=True, slots=True)
class _Unapplied:
    """A record that could not be applied.

    Attributes:
        retry_at: Monotonic time at which it is applied again, in seconds.
    """

    record: Published
    source: str
    retry_at: float


class EndpointSync:
    """Applies the platform's endpoint list to the table of endpoints.

    An unexpected error with one record costs that record and not the list: the others are
    applied, and the record itself again a moment later.

    Args:
        ctx: State shared by all requests of the entry.
        peers: The other entries, whose digests tell whether the platform answered them.
        feed: This entry's own calls for the list.
        refusals: Reports records that are not used.
    """

    def __init__(
        self, ctx: Context, peers: PeerTable, feed: Feed, refusals: RecordRefusals
    ) -> None:
        self._ctx = ctx
        self._peers = peers
        self._feed = feed
        self._refusals = refusals
        self._told_at = -math.inf
        self._relayed_at = -math.inf
        self._relayed_revision = 0
        self._overtaken_at = -math.inf
        self._unapplied: dict[str, _Unapplied] = {}

    def apply(self, published: Published, *, source: str = STORE_SOURCE) -> None:
        """Add an endpoint, or update its row.

        Args:
            published: The platform's record of it.
            source: The peer whose view holds the record, or `STORE_SOURCE`.
        """
        self._unapplied.pop(published.id, None)
        try:
            is_applied = self._publish(published, source)
        except Exception as exc:  # noqa: BLE001
            log_internal_error(exc, endpoint=published.id)
            self._refusals.report(
                published.id, RecordFault.INTERNAL, repr(exc), source=source
            )
            retry_at = clock.now() + REAPPLY_INTERVAL_S
            self._unapplied[published.id] = _Unapplied(published, source, retry_at)
            return
        self._refusals.forget(published.id)
        if is_applied:
            self._run_round()

    def _run_round(self) -> None:
        """Place the requests that wait; an error there does not concern the list."""
        try:
            self._ctx.scheduler.run_round()
        except Exception as exc:  # noqa: BLE001
            log_internal_error(exc)

    def apply_again(self, now: float) -> None:
        """Apply the records again that an unexpected error kept from being applied."""
        for item in list(self._unapplied.values()):
            if now >= item.retry_at:
                self.apply(item.record, source=item.source)

    def _publish(self, published: Published, source: str) -> bool:
        """Add an endpoint, or update its row; return whether its record was current."""
        row = self._ctx.endpoints.last_incarnation(published.id)
        was_leaving = row is not None and row.published.leaving
        old_version = row and row.published.software_version
        result = self._ctx.endpoints.publish(published, clock.now())
        if result is PublishResult.STALE:
            self._report_stale(published, source)
            return False
        if row is not None and old_version != published.software_version:
            self._ctx.streams.handle_version_change(published.id)
        if result is PublishResult.NEW_INCARNATION and row is not None:
            self._abort_incarnation(row)
        listed = self._ctx.endpoints.get(published.id)
        is_leaving = listed is not None and listed.published.leaving
        if is_leaving and not published.leaving:
            self._report_ignored(published, "it was said to be leaving", source)
        if result is not PublishResult.CHANGED or was_leaving != is_leaving:
            log(
                Event.ENDPOINT_PUBLISHED,
                endpoint=published.id,
                service=published.service,
                leaving=is_leaving,
                cold_s=published.cold_s,
                version=published.software_version,
                revision=published.revision,
                source=source,
            )
        return True

    def _report_stale(self, published: Published, source: str) -> None:
        """Report an older record that would have let an endpoint serve again."""
        row = self._ctx.endpoints.get(published.id)
        if row is None:
            self._report_ignored(published, "it was removed", source)
        elif row.published.leaving and not published.leaving:
            self._report_ignored(published, "it was said to be leaving", source)

    def _report_ignored(self, published: Published, reason: str, source: str) -> None:
        known = self._ctx.endpoints.last_incarnation(published.id)
        log(
            Event.RECORD_IGNORED,
            reason,
            endpoint=published.id,
            revision=published.revision,
            known_revision=known.published.revision if known is not None else 0,
            source=source,
        )

    def remove(
        self,
        endpoint: str,
        *,
        revision: int = 0,
        lapsed_at: float | None = None,
        source: str = STORE_SOURCE,
    ) -> None:
        """Remove an endpoint that the platform no longer lists.

        Args:
            endpoint: Its id.
            revision: The platform's revision as of which it is not listed; 0 if unknown.
                A record of a later one stays.
            lapsed_at: Monotonic time at which the platform, after an outage, responded
                without its record, in seconds: it may only have expired, so the endpoint
                is kept for a grace period from then on. ``None`` if it has left.
            source: The peer whose view says so, `STORE_SOURCE` or `GRACE_PERIOD_SOURCE`.
        """
        known = self._ctx.endpoints.last_incarnation(endpoint)
        if known is not None and 0 < revision < known.published.revision:
            return
        self._unapplied.pop(endpoint, None)
        try:
            self._unlist(endpoint, lapsed_at, source, revision)
        except Exception as exc:  # noqa: BLE001
            log_internal_error(exc, endpoint=endpoint)
        # A peer may not know of a record that was created since.
        if known is not None and source == STORE_SOURCE:
            known.mark_unlisted(revision)

    def _unlist(
        self, endpoint: str, lapsed_at: float | None, source: str, revision: int
    ) -> None:
        row = self._ctx.endpoints.get(endpoint)
        if row is None:
            return
        if lapsed_at is not None and not row.is_leaving:
            self._mark_lapsed(row, lapsed_at, source)
            return
        if self._ctx.endpoints.remove(endpoint):
            # It may have served until now, even if this entry stood still meanwhile.
            listed, versions = row.published, self._ctx.endpoints.software_versions
            versions.record(listed.service, listed.software_version, clock.now())
            self._ctx.pool.close_idle(row.published.address)
            log(
                Event.ENDPOINT_GONE,
                endpoint=endpoint,
                under_way=row.in_flight_here,
                revision=revision,
                source=source,
            )
            self._ctx.crashes.handle_incarnation_end(row)

    @staticmethod
    def _mark_lapsed(row: EndpointRow, lapsed_at: float, source: str) -> None:
        """Keep an endpoint for a grace period; one that has begun is never extended."""
        if row.lapsed_at is not None:
            row.lapsed_at = min(row.lapsed_at, lapsed_at)
            return
        row.lapsed_at = lapsed_at
        log(
            Event.ENDPOINT_LAPSED,
            endpoint=row.id,
            grace_s=round(lapsed_at + LAPSE_GRACE_S - clock.now(), 3),
            source=source,
        )

    def apply_all(
        self,
        published: list[Published],
        revision: int,
        *,
        lapsed_at: float | None = None,
    ) -> None:
        """Replace the list of endpoints.

        Args:
            published: All endpoints that the platform lists.
            revision: The platform's revision of the list.
            lapsed_at: Monotonic time at which the platform, after an outage, responded with
                the list, in seconds; ``None`` if no running endpoint can be missing.
        """
        self._unapplied.clear()
        listed = {item.id for item in published}
        for item in published:
            self.apply(item)
        for row in self._ctx.endpoints:
            if row.id not in listed:
                self.remove(row.id, revision=revision, lapsed_at=lapsed_at)

    def apply_relayed(
        self,
        published: list[Published],
        revision: int,
        lapsed_at: Mapping[str, float],
        *,
        source: str,
    ) -> None:
        """Replace the list of endpoints with the one in a peer's view.

        The platform does not list lapsed endpoints: the peer only keeps them. So they are
        not added where their removal is known already, whatever the peer believes.

        Args:
            published: All endpoints in the view.
            revision: The platform's revision of the view.
            lapsed_at: The lapsed ones among them: by id, the monotonic time from which
                their grace period counts, in seconds.
            source: The peer.
        """
        self._unapplied.clear()
        self._relayed_at, self._relayed_revision = clock.now(), revision
        valid = [item for item in published if self._is_valid(item, source)]
        lapsed = [(item, lapsed_at[item.id]) for item in valid if item.id in lapsed_at]
        gone = self._past_grace(lapsed, clock.now())
        kept = {item.id for item in valid} - gone
        table = self._ctx.endpoints
        for item in valid:
            is_known = table.get(item.id) is not None or table.has_ended(item)
            if item.id not in lapsed_at or (item.id in kept and not is_known):
                self.apply(item, source=source)
        for row in table:
            if row.id not in kept:
                self.remove(row.id, revision=revision, source=source)
            elif row.id in lapsed_at:
                if row.lapsed_at is None:
                    self._told_at = clock.now()
                self.remove(row.id, lapsed_at=lapsed_at[row.id], source=source)

    def _is_valid(self, published: Published, source: str) -> bool:
        """Return whether a peer's record is valid; report it if it is not."""
        try:
            check_record(published)
        except RecordError as exc:
            self._refusals.report(published.id, exc.fault, str(exc), source=source)
            return False
        return True

    @property
    def must_check_lapses(self) -> bool:
        """Whether no own call has succeeded since a peer told of lapsed endpoints.

        The peer may only believe it, as its own calls had failed.
        """
        return self._told_at > self._feed.complete_at

    def is_overtaken(self, revision: int) -> bool:
        """Return whether a peer's newer view was taken since the last own call was sent.

        Args:
            revision: The platform's revision of the response to that call.
        """
        is_later = self._relayed_at > self._feed.called_at
        return is_later and self._relayed_revision > revision

    def record_read(self, revision: int) -> None:
        """Record that the response to an own call was applied.

        Args:
            revision: The platform's revision of the response.
        """
        if self.is_overtaken(revision):
            self._overtaken_at = self._relayed_at

    @property
    def needs_another_read(self) -> bool:
        """Whether older records were applied after a peer's view, which may undo a part."""
        return self._overtaken_at > self._feed.complete_at

    def expire_lapsed(self, now: float) -> None:
        """Remove lapsed endpoints that were not listed again within the grace period."""
        lapsed = [
            (row.published, row.lapsed_at)
            for row in self._ctx.endpoints
            if row.lapsed_at is not None
        ]
        for endpoint in self._past_grace(lapsed, now):
            self.remove(endpoint, source=GRACE_PERIOD_SOURCE)

    def _past_grace(self, lapsed: list[tuple[Published, float]], now: float) -> set[str]:
        """Return the endpoints whose grace period is over.

        Args:
            lapsed: Lapsed endpoints, each with the monotonic time from which its grace
                period counts, in seconds.
            now: Monotonic time, in seconds.
        """
        if not lapsed:
            return set()
        periods = answered_periods(self._peers.fresh(now), self._feed.max_gap_s)
        # Most endpoints of a data hall lapse together.
        groups = {(at, item.hall) for item, at in lapsed}
        ends = {(at, hall): grace_end(at, hall, periods) for at, hall in groups}
        return {item.id for item, at in lapsed if now >= ends[at, item.hall]}

    def _abort_incarnation(self, row: EndpointRow) -> None:
        """Abort the requests that an endpoint was processing before it restarted.

        Otherwise each of their callers would wait until its deadline or its own timeout.
        """
        log(Event.ENDPOINT_REBORN, endpoint=row.id, under_way=len(row.connections))
        self._ctx.crashes.handle_incarnation_end(row)
        for conn in list(row.connections):
            conn.abort()
        self._ctx.pool.close_idle(row.published.address)
