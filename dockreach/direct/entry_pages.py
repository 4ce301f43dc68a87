"""HTTP pages of an entry: health for the load balancer, view for peers, and metrics."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from heapq import nlargest
from typing import Protocol

from .. import clock
from ..events import Event, event_count
from ..metrics import Sample, counter_samples, process_samples
from . import view as views
from .context import Context
from .dispatching import Dispatcher
from .endpoint_load import SLOWED_PERCENT
from .endpoints import EndpointTable
from .entry_settings import EntrySettings
from .evacuated_halls import EvacuatedHalls
from .feeds import Feeds
from .gossip import Gossip
from .http1 import RawHead, ResponseLimit
from .list_confirmation import ListConfirmation
from .loop_guard import LoopGuard
from .peers import PeerTable
from .routing_config import ConfigRevision
from .send_guard import SendGuard
from .slot_client import SlotClient
from .slot_server import SlotServer
from .stalls import Stalls
from .status_pages import NOT_FOUND, Page
from .version_coverage import VersionSource

MAX_QUARANTINED_SHOWN = 16
"""Quarantined requests on the metrics page, the latest ones: each is a time series of its
own in the metrics store."""

MAX_ORGANISATIONS_SHOWN = 32
"""Organisations whose engine time, or whose waiting requests, are on the metrics page, the
largest ones; limited for the same reason."""

MAX_ADVERTISED_SHOWN = 64
"""Endpoints whose advertised state is on the metrics page, limited for the same reason."""


class PageSource(Protocol):
    """The attributes of an entry that its pages show."""

    settings: EntrySettings
    started_at: float
    ctx: Context
    feeds: Feeds
    stalls: Stalls
    loop_guard: LoopGuard
    list_confirmation: ListConfirmation
    endpoints: EndpointTable
    peers: PeerTable
    gossip: Gossip
    dispatcher: Dispatcher
    slot_client: SlotClient
    slot_server: SlotServer
    send_guard: SendGuard
    evacuated: EvacuatedHalls

    @property
    def revision(self) -> ConfigRevision | None:
        """The configuration in force; ``None`` before the first."""

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send callers here."""

    def view(self) -> views.View:
        """Return all state that the platform published."""


class EntryPages:
    """Builds an entry's pages.

    Args:
        entry: The entry.
    """

    def __init__(self, entry: PageSource) -> None:
        self._entry = entry

    def health(self, target: bytes) -> Page:
        """Return the health page for the load balancer; any path gets the same."""
        del target
        return RawHead(200 if self._entry.is_ready else 503, b"", []), b""

    def view(self, target: bytes) -> Page:
        """Return the view page for peers: all state that the platform published."""
        if target != views.VIEW_PATH:
            return NOT_FOUND
        return RawHead(200, b"OK", []), views.encode(self._entry.view())

    def metrics(self, target: bytes) -> Page:
        """Return the metrics page."""
        if target != self._entry.settings.metrics_path.encode():
            return NOT_FOUND
        body, kind = self._entry.ctx.metrics.render_page(self._samples())
        return RawHead(200, b"OK", [(b"Content-Type", kind.encode())]), body

    def _samples(self) -> Iterator[Sample]:
        entry = self._entry
        yield from process_samples(entry.started_at)
        yield from counter_samples("direct", entry.ctx.counters)
        for limit in ResponseLimit:
            yield Sample(
                "dockreach_direct_response_limits_total",
                "Responses of endpoints that went over a limit",
                entry.ctx.counters.response_limits[limit],
                {"limit": limit.value},
            )
        for source in VersionSource:
            yield Sample(
                "dockreach_direct_take_ups_total",
                "Streams that callers took up, by what tells their software version",
                entry.ctx.counters.take_ups[source],
                {"known_from": source.value},
            )
        for status, count in entry.ctx.counters.statuses_replaced.items():
            yield Sample(
                "dockreach_direct_statuses_replaced_total",
                "Responses of endpoints whose status promises what is not proven",
                count,
                {"status": str(status)},
            )
        yield Sample(
            "dockreach_direct_internal_errors_total",
            "Faults of the program that ended a connection, a step or a record",
            event_count(Event.INTERNAL_ERROR),
            {},
        )
        yield from entry.ctx.outcomes.samples()
        yield from entry.ctx.ends.samples()
        yield from entry.ctx.memory.samples()
        now = clock.now()
        yield from entry.feeds.samples(now, entry.started_at)
        yield from entry.stalls.samples()
        yield from entry.loop_guard.samples()
        yield from entry.list_confirmation.samples(now)
        yield from entry.ctx.configuration.samples(now)
        gauges = {
            "peers": len(entry.peers),
            "endpoints": len(entry.endpoints),
            "revision": entry.revision.number if entry.revision else 0,
            "under_way": sum(row.in_flight_here for row in entry.endpoints),
            "cold_endpoints": sum(
                entry.send_guard.is_cold(row, now) for row in entry.endpoints
            ),
            "slowed_endpoints": sum(
                row.load.present_percent(now) > SLOWED_PERCENT for row in entry.endpoints
            ),
            "suspects": len(entry.ctx.crashes.quarantine),
            "requests_barred": len(entry.ctx.crashes.quarantine.quarantined()),
            "halls_emptied": len(entry.evacuated.since),
            "orders_revision": entry.evacuated.revision,
            "endpoints_revision": entry.list_confirmation.revision,
            "newest_endpoints_revision": self._newest_endpoints_revision(now),
            "waiting": sum(entry.dispatcher.waiting().values()),
            "forecast_rejections": entry.dispatcher.forecast_rejections,
            "admitted_rejections": entry.dispatcher.admitted_rejections,
            "asked": sum(entry.slot_client.waiting().values()),
            "places_granted": entry.slot_server.grant_count,
            "places_taken_alone": entry.slot_client.fallback_count,
            "return_times_with_slot": entry.dispatcher.return_times.timed_count,
            "return_times_spread": entry.dispatcher.return_times.spread_count,
            "digests_sent": entry.gossip.sent,
            "connections_opened": entry.ctx.pool.opened,
            "connections_reused": entry.ctx.pool.reused,
        }
        for name, value in gauges.items():
            text = name.replace("_", " ").capitalize()
            yield Sample(f"dockreach_direct_{name}", text, value, {}, is_counter=False)
        yield from self._organisation_samples()
        yield from self._hall_samples()
        yield from self._quarantine_samples()
        yield from self._advertised_samples(now)

    def _newest_endpoints_revision(self, now: float) -> int:
        """Return the highest revision of the list that this entry or a peer has."""
        peers = (row.digest.endpoints_revision for row in self._entry.peers.fresh(now))
        return max([self._entry.list_confirmation.revision, *peers])

    def _advertised_samples(self, now: float) -> Iterator[Sample]:
        """Return why endpoints are blocked, and the state that they advertise."""
        blocks = [
            self._entry.send_guard.send_block(row, now) for row in self._entry.endpoints
        ]
        for reason, count in Counter(block.reason for block in blocks if block).items():
            yield Sample(
                "dockreach_direct_endpoints_held",
                "Endpoints that get nothing now, by why",
                count,
                {"reason": reason.value},
                is_counter=False,
            )
        rows = self._entry.endpoints.advertising()[:MAX_ADVERTISED_SHOWN]
        limits = {row.id: row.advertised.limit for row in rows}
        shown = {
            "limit_per_second": {
                endpoint: limit.report.rate
                for endpoint, limit in limits.items()
                if limit.is_active
            },
            "rest_seconds": {
                row.id: row.advertised.backoff_until - now
                for row in rows
                if row.advertised.backoff_until > now
            },
            "leaving": {row.id: 1.0 for row in rows if row.advertised.is_leaving},
        }
        for name, values in shown.items():
            text = f"What endpoints say of themselves: {name.replace('_', ' ')}"
            for endpoint, value in values.items():
                yield Sample(
                    f"dockreach_direct_endpoint_{name}",
                    text,
                    value,
                    {"endpoint": endpoint},
                    is_counter=False,
                )

    def _organisation_samples(self) -> Iterator[Sample]:
        """Return the engine time and the waiting requests of the largest organisations."""
        dispatcher = self._entry.dispatcher
        if not dispatcher.shares.is_active:
            return
        times = dispatcher.shares.engine_times()
        for row in nlargest(MAX_ORGANISATIONS_SHOWN, times, key=lambda row: row.seconds):
            yield Sample(
                "dockreach_direct_organisation_engine_seconds_total",
                "Seconds for which ended requests of this entry held slots",
                row.seconds,
                {"organisation": row.organisation, "service": row.service},
            )
        waiting = dispatcher.waiting_by_organisation()
        for organisation, count in waiting.most_common(MAX_ORGANISATIONS_SHOWN):
            yield Sample(
                "dockreach_direct_organisation_waiting",
                "Requests that wait for a slot to be assigned by this entry",
                count,
                {"organisation": organisation},
                is_counter=False,
            )

    def _quarantine_samples(self) -> Iterator[Sample]:
        """Return which requests are quarantined, and where they come from."""
        for request in self._entry.ctx.crashes.quarantined()[:MAX_QUARANTINED_SHOWN]:
            yield Sample(
                "dockreach_direct_request_barred_seconds",
                "Seconds since an engine ended last under a request that is not run",
                request.crash_age_s,
                {"fingerprint": request.fingerprint.hex(), **request.source._asdict()},
                is_counter=False,
            )

    def _hall_samples(self) -> Iterator[Sample]:
        """Return since when each data hall is evacuated, and by which revision."""
        entry = self._entry
        now = clock.now()
        for hall, since in entry.evacuated.since.items():
            yield Sample(
                "dockreach_direct_hall_emptied_seconds",
                "Seconds since a data hall is to be empty",
                now - since,
                {"hall": hall, "orders_revision": str(entry.evacuated.revision)},
                is_counter=False,
            )
