"""An entry of the direct path: its state, where that comes from, and what it reports."""

from __future__ import annotations

import math
import secrets
import socket
from collections.abc import Callable, Collection, Iterable
from dataclasses import replace
from functools import singledispatchmethod
from operator import attrgetter
from typing import Any

import eventlet
from eventlet.event import Event as Signal

from .. import clock
from ..errors import RevisionError
from ..events import Event, log
from ..metrics import Metrics
from ..rendezvous import choose
from ..verdict import Refusal
from .caller_memory import CallerMemory
from .config_confirmation import ConfigConfirmation
from .connection_admission import ConnectionAdmission, IdleMeter
from .connection_ends import CloseCause
from .context import Context
from .coordinator_selection import CoordinatorSelector
from .crash_reporter import CrashReporter
from .datagrams import Message
from .digest import Address, CrashUpdate, Digest
from .dispatching import Dispatcher
from .endpoint_selection import EndpointSelector, SelectionPolicy
from .endpoint_sync import EndpointSync
from .endpoints import EndpointTable, Published
from .entry_pages import EntryPages
from .entry_settings import EntrySettings
from .evacuated_halls import EvacuatedHalls
from .feeds import LIST_GAP_FRACTION, OUTAGE_FRACTION, Feed, Feeds, PlatformContact
from .gossip import Gossip
from .jobs import Job
from .list_confirmation import MAX_AGE_FRACTION, ListConfirmation
from .listening import listen
from .loop_guard import LoopGuard
from .loops import run_forever
from .memory_plan import MemoryPlan, memory_plan
from .message_checks import is_valid, without_invalid_parts
from .notice_tracker import NoticeTracker
from .peers import MAX_DATAGRAM_DELAY_S, RECENT_START_S, PeerTable
from .pool import ConnectionPool
from .protocol_adapter import ProtocolAdapter
from .quarantine import RequestQuarantine
from .readers import CONFIGURATION, ENDPOINTS, EVACUATIONS, ReaderSelector
from .relayed_notice import NoticeUpdate
from .retry_budget import RetryBudget
from .routing_config import ConfigRevision, Route
from .scheduling import Scheduler
from .send_guard import SendGuard
from .serving import CallerServer, accept_all
from .single_flight import SingleFlight
from .slot_client import SlotClient
from .slot_messages import SlotReply, SlotState
from .slot_server import LEASE_S, SlotServer
from .stalls import BEAT_INTERVAL_S, Arrival, Stalls
from .status_pages import Page, PageServer
from .stream_messages import StreamQuestion, StreamReport
from .stream_versions import StreamVersions
from .token_quota import QuotaTable
from .version_coverage import PLATFORM, Confirmation, ServedVersion, VersionSource
from .view import View
from .view_sync import KnownRevisions, ViewSync

CONNECT_TIMEOUT_S = 0.4
"""Connect timeout for an endpoint, in seconds: a hundred round trips."""

STARTUP_WAIT_S = 0.4
"""How long callers that connect during startup wait for a configuration, in seconds. After
that they are refused with a retry time."""

STARTUP_POLL_INTERVAL_S = 0.005
"""Interval at which startup checks for a configuration, in seconds."""

MAINTENANCE_INTERVAL_S = 0.1
"""Interval between maintenance rounds, which expire outdated state, in seconds."""


class Entry:
    """One entry process. The platform's adapter calls it with what the platform publishes.

    Args:
        settings: Settings at the start.
        adapter: Translates the platform's requests and responses.
        policy: Policy by which endpoints are selected.
        listener: Socket to which callers connect already; `start` opens one if omitted.
    """

    def __init__(
        self,
        settings: EntrySettings,
        adapter: ProtocolAdapter,
        policy: SelectionPolicy = SelectionPolicy.MEASURED,
        *,
        listener: socket.socket | None = None,
    ) -> None:
        self.settings = settings
        clock.patch_hub_clock()
        self._listener = listener
        self._acceptor: Any = None
        self.started_at = clock.now()
        self.stopping_since: float | None = None
        self._has_endpoints = False
        self._adapter = adapter
        self._incarnation = secrets.randbits(63)
        self._digest_number = 0
        self.stalls = Stalls(clock.now)
        self.loop_guard = LoopGuard()
        contact, margin_s = PlatformContact(), _record_margin_s(settings)
        self.feeds = Feeds(
            configuration=Feed(max_gap_s=margin_s, stalls=self.stalls, contact=contact),
            endpoints=Feed(max_gap_s=margin_s, stalls=self.stalls, contact=contact),
        )
        self.endpoints = EndpointTable()
        self.evacuated = EvacuatedHalls(self.endpoints)
        self.peers = PeerTable(settings.gossip_address, settings.seeds)
        self.gossip = Gossip(
            settings.gossip_address,
            self.peers,
            self._make_digest,
            self._receive,
            self.stalls,
        )
        self._coordinator_selector = CoordinatorSelector(
            self.peers,
            capacity=settings.capacity,
            started_at=self.started_at,
            is_independent=policy is SelectionPolicy.PLAIN or not settings.is_coordinated,
            has_clients=self._has_slot_clients,
        )
        self.send_guard = SendGuard(
            self._coordinator_selector, self.endpoints, settings.cold_tolerance
        )
        selector = EndpointSelector(
            self.endpoints, settings.hall, policy, guard=self.send_guard
        )
        self.dispatcher = Dispatcher(self.endpoints, selector)
        self.slot_client = SlotClient(
            settings.gossip_address,
            self._incarnation,
            self._coordinator_selector,
            self.endpoints,
            self.send_guard,
        )
        self.slot_server = SlotServer(
            settings.gossip_address, self.dispatcher, self.endpoints, self._find_route
        )
        self._readers = ReaderSelector(self.peers, settings.hall)
        self._view_sync = ViewSync(
            self.peers, settings.hall, self._known_revisions, self.apply_view
        )
        scheduler = Scheduler(
            self.dispatcher,
            self.slot_client,
            self.slot_server,
            self.gossip.send,
            self.gossip.send_soon,
        )
        self.list_confirmation = ListConfirmation(
            self._endpoints_confirmation, self._max_unconfirmed_s
        )
        self.ctx = Context(
            adapter=adapter,
            endpoints=self.endpoints,
            scheduler=scheduler,
            memory=CallerMemory(_memory_plan(settings)),
            quotas=QuotaTable(
                self.peers,
                settings.quota_tolerance,
                started_at=self.started_at,
                has_predecessor=settings.has_predecessor,
            ),
            retry_budget=RetryBudget(
                settings.retry_policy,
                self.started_at if settings.has_predecessor else -math.inf,
            ),
            pool=ConnectionPool(CONNECT_TIMEOUT_S),
            metrics=Metrics(settings.name),
            hall=settings.hall,
            region_of_hall=settings.region_of_hall,
            crashes=CrashReporter(
                RequestQuarantine(clock.now, self._is_probe_owner),
                self.endpoints,
                self.gossip.send_all,
                clock.now,
                CONNECT_TIMEOUT_S,
                self._refuse_quarantined,
            ),
            notices=NoticeTracker(
                self.endpoints,
                settings.name,
                self.gossip.send_all,
                scheduler.run_round,
                clock.now,
            ),
            streams=StreamVersions(
                self.endpoints.software_versions,
                self.peers,
                settings.hall,
                self.gossip.send,
                clock.now,
                self._endpoints_confirmation,
                lambda: LIST_GAP_FRACTION * self.settings.apply_deadline_s,
            ),
            stalls=self.stalls,
            list_confirmation=self.list_confirmation,
            configuration=ConfigConfirmation(
                self.feeds.configuration,
                self.peers,
                lambda: self.settings.apply_deadline_s,
            ),
        )
        if not settings.has_predecessor:
            self.endpoints.software_versions.coverage.extend(
                -math.inf, VersionSource.FIRST_START
            )
        self.ctx.entry_count += self.peers.never_seen_count
        self._endpoint_sync = EndpointSync(
            self.ctx, self.peers, self.feeds.endpoints, self.feeds.refusals
        )
        self.callers = CallerServer(self)
        meter = IdleMeter(eventlet.hubs.get_hub(), clock.now)
        self.admission = ConnectionAdmission(clock.now, meter)

    def start(self) -> None:
        """Start listening and exchanging state with the other entries."""
        self.gossip.start()
        settings = self.settings
        pages = EntryPages(self)
        self._listener = self._listener or listen(settings.callers_address)
        self._acceptor = eventlet.spawn(self._accept_callers, self._listener)
        self._serve_page(settings.health_address, pages.health)
        self._serve_page(settings.gossip_address, pages.view)
        if settings.metrics_address is not None:
            self._serve_page(settings.metrics_address, pages.metrics)
        self._view_sync.start()
        eventlet.spawn(run_forever, self._beat)
        eventlet.spawn(run_forever, self._run_maintenance)
        eventlet.spawn(run_forever, self.admission.measure)
        log(Event.STARTED, daemon_hall=settings.hall, has_past=settings.has_predecessor)

    def _serve_page(self, address: Address, page: Callable[[bytes], Page]) -> None:
        server = PageServer(page, self.ctx.memory)
        eventlet.spawn(accept_all, listen(address), server.serve, server.admit)

    def _accept_callers(self, listener: socket.socket) -> None:
        """Accept callers once the entry can serve them, or refuse them after a timeout."""
        deadline = self.started_at + STARTUP_WAIT_S
        while clock.now() < deadline and not self._is_ready_for_callers:
            eventlet.sleep(STARTUP_POLL_INTERVAL_S)
        accept_all(listener, self.callers.serve, self._admit)

    def _admit(self) -> bool:
        """Return whether to take a new connection; count those that are closed unread."""
        is_admitted = self.admission.admit() and self.callers.make_way(clock.now())
        if not is_admitted:
            self.ctx.ends.closed[CloseCause.UNREAD] += 1
        return is_admitted

    def apply_settings(self, settings: EntrySettings) -> None:
        """Apply changed settings; addresses and names stay until a restart."""
        self.settings = replace(
            self.settings,
            seeds=settings.seeds,
            grace_s=settings.grace_s,
            quota_tolerance=settings.quota_tolerance,
            retry_policy=settings.retry_policy,
            apply_deadline_s=settings.apply_deadline_s,
            cold_tolerance=settings.cold_tolerance,
            heartbeat_s=settings.heartbeat_s,
            memory_mb=settings.memory_mb,
            max_descriptors=settings.max_descriptors,
        )
        self.ctx.memory.apply(_memory_plan(self.settings))
        for feed in (self.feeds.configuration, self.feeds.endpoints):
            feed.max_gap_s = _record_margin_s(settings)
        self.callers.change_grace(settings.grace_s)
        self.send_guard.tolerance = settings.cold_tolerance
        self.peers.seeds = settings.seeds
        self.ctx.quotas.tolerance = settings.quota_tolerance
        self.ctx.retry_budget.policy = settings.retry_policy
        log(Event.SETTINGS_IN_FORCE, seeds=len(settings.seeds))

    @property
    def revision(self) -> ConfigRevision | None:
        """The configuration in force; ``None`` before the first."""
        return self.ctx.configuration.revision

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send callers here."""
        is_configured = self.revision is not None and self._has_endpoints
        is_blocked = self.loop_guard.is_blocked
        return is_configured and self.stopping_since is None and not is_blocked

    @property
    def has_endpoint_list(self) -> bool:
        """Whether the platform's list of endpoints was read."""
        return self._has_endpoints

    @property
    def _is_ready_for_callers(self) -> bool:
        """Whether callers that wait during startup can be served now."""
        return self.is_ready and not self.ctx.quotas.is_discovering_peers(clock.now())

    # State that the platform publishes.

    def apply_revision(self, revision: ConfigRevision, source: str) -> bool:
        """Apply a configuration if it is newer; return whether it was applied."""
        if self.revision is not None and revision.number <= self.revision.number:
            return False
        self.ctx.configuration.apply(revision, source, clock.now())
        self.send_guard.apply_services(revision.services)
        self.ctx.liveness.apply_services(revision.services)
        self.dispatcher.apply_organisations(revision.organisations)
        self.ctx.first_attempts.keep_only({route.name for route in revision.routes})
        log(Event.CONFIG_IN_FORCE, revision=revision.number, source=source)
        self.gossip.send_soon()
        return True

    def apply_endpoint(self, published: Published) -> None:
        """Add an endpoint, or replace its published state."""
        self._endpoint_sync.apply(published)

    def apply_evacuations(
        self, halls: frozenset[str], orders_revision: int, *, complete_to: int = 0
    ) -> None:
        """Send no more requests to the endpoints of evacuated data halls.

        Args:
            halls: All data halls that the operator wants evacuated.
            orders_revision: The platform's revision up to which operator commands were
                read.
            complete_to: The platform's revision up to which this entry itself has read all
                commands; 0 if a peer told them.
        """
        if self.evacuated.apply(
            halls, orders_revision, clock.now(), complete_to=complete_to
        ):
            self.gossip.send_soon()
        self.ctx.scheduler.run_round()

    def remove_endpoint(
        self, endpoint: str, *, revision: int = 0, after_outage: bool = False
    ) -> None:
        """Remove an endpoint that the platform no longer lists.

        Args:
            endpoint: Its id.
            revision: The platform's revision as of which it is not listed; 0 if unknown.
            after_outage: Whether its registration may only have lapsed during a platform
                outage; it is then kept for a grace period.
        """
        lapsed_at = clock.now() if after_outage else None
        self._endpoint_sync.remove(endpoint, revision=revision, lapsed_at=lapsed_at)

    def replace_endpoints(
        self,
        published: list[Published],
        endpoints_revision: int,
        *,
        after_outage: bool = False,
        complete_at: float | None = None,
    ) -> None:
        """Replace the list of endpoints.

        Args:
            published: All endpoints that the platform lists.
            endpoints_revision: The platform's revision of the list.
            after_outage: Whether records of running endpoints may be missing.
            complete_at: Monotonic time up to which the list holds all changes, in seconds;
                now if omitted.
        """
        sync = self._endpoint_sync
        has_gone_back = endpoints_revision < self.endpoints_revision
        if has_gone_back and not sync.is_overtaken(endpoints_revision):
            self.endpoints.forget_revisions()
        lapsed_at = clock.now() if after_outage else None
        sync.apply_all(published, endpoints_revision, lapsed_at=lapsed_at)
        sync.record_read(endpoints_revision)
        self.ctx.streams.replace_list(complete_at)
        self.record_endpoints_revision(endpoints_revision)

    def finish_endpoint_changes(self, revision: int) -> None:
        """Record that all changes in a response were applied.

        Args:
            revision: The platform's revision of the response.
        """
        self._endpoint_sync.record_read(revision)

    def expect_endpoint_history(self) -> None:
        """Expect the platform's history of endpoints, or word that there is none.

        Until then, the settings are not believed that nothing served before the start.
        """
        self.endpoints.software_versions.coverage.revoke_first_start()
        self.ctx.streams.history = Signal()

    def record_served(self, served: Iterable[ServedVersion]) -> None:
        """Record versions of endpoints that were listed for a moment, and are not now."""
        for item in served:
            self.endpoints.software_versions.record(item.service, item.version, clock.now())

    def set_list_read(self, read: Callable[[], None]) -> None:
        """Set how the list of endpoints is confirmed for a stream that goes on.

        Args:
            read: Reads all changes since `endpoints_revision` from the platform, and calls
                `record_served` and `confirm_endpoints`; raises `PlatformError`.
        """
        self.ctx.streams.list_read = SingleFlight(read, clock.now)

    @property
    def endpoints_revision(self) -> int:
        """The platform's revision up to which the endpoint list was read; 0 for none."""
        return self.list_confirmation.revision

    def confirm_endpoints(self, at: float) -> None:
        """Record that the platform told all versions that served up to a time.

        Args:
            at: That time, monotonic, in seconds: no later than the call was sent.
        """
        self.endpoints.software_versions.confirm(at)

    def apply_endpoint_history(
        self, served: Collection[ServedVersion] | None, called_at: float = math.inf
    ) -> None:
        """Apply the versions of all endpoints that were ever listed.

        Args:
            served: The versions; ``None`` if the platform has forgotten a part of them.
            called_at: Monotonic time at which they were asked for, in seconds; now if
                omitted.
        """
        if served is not None:
            now = clock.now()
            self.endpoints.software_versions.add_history(
                served, now, sent_after=min(called_at, now)
            )
        log(
            Event.ENDPOINT_HISTORY,
            is_complete=served is not None,
            versions=len({item.version for item in served or ()}),
        )
        self.ctx.streams.finish_history()

    def _endpoints_confirmation(self) -> Confirmation:
        """Return up to when this entry has seen all changes of the list of endpoints.

        A peer that has seen all changes up to a later time has seen none that this entry
        has not, unless its revision is higher.
        """
        if not self.endpoints_revision:
            return Confirmation(-math.inf, PLATFORM)
        relayed = [
            Confirmation(row.sent_after - row.digest.endpoints_complete_s, row.digest.name)
            for row in self.peers.fresh(clock.now())
            if row.digest.endpoints_revision <= self.endpoints_revision
        ]
        own = Confirmation(self.feeds.endpoints.complete_at, PLATFORM)
        return max([own, *relayed], key=attrgetter("at"))

    def _max_unconfirmed_s(self) -> float:
        """Return for how long the list may be unconfirmed in operation, in seconds."""
        longest_s = MAX_AGE_FRACTION * self.settings.apply_deadline_s
        return longest_s + self.peers.digest_interval_s

    def _known_revisions(self) -> KnownRevisions:
        revision = self.revision.number if self.revision else 0
        now = clock.now()
        age_s = self.feeds.endpoints.age_s(now, self.started_at)
        is_unavailable = age_s > OUTAGE_FRACTION * self.settings.apply_deadline_s
        is_reader = self._readers.is_reader(now)
        return KnownRevisions(
            revision,
            self.endpoints_revision,
            is_unavailable,
            is_reader,
            self.evacuated.revision,
        )

    def view(self) -> View:
        """Return all state that the platform published, for a peer that cannot read it."""
        text = self.revision.text if self.revision else b""
        published = [row.published for row in self.endpoints]
        number = self.revision.number if self.revision else 0
        now = clock.now()
        lapsed = {
            row.id: now - row.lapsed_at
            for row in self.endpoints
            if row.lapsed_at is not None
        }
        evacuated = sorted(self.endpoints.evacuated)
        return View(
            number,
            text,
            self.endpoints_revision,
            published,
            list(lapsed),
            evacuated,
            self.evacuated.revision,
            list(lapsed.values()),
        )

    def apply_view(self, view: View, peer: str) -> None:
        """Apply those parts of a peer's view that are newer than this entry's state.

        Args:
            view: The view.
            peer: Name of the peer.
        """
        if view.revision > self._known_revisions().revision:
            try:
                self.apply_revision(self._adapter.read_revision(view.text), peer)
            except RevisionError as exc:
                log(Event.CONFIG_REFUSED, str(exc), source=peer)
        if view.orders_revision:
            self.apply_evacuations(frozenset(view.evacuated), view.orders_revision)
        if view.endpoints_revision > self.endpoints_revision and view.endpoints:
            log(Event.VIEW_TAKEN, peer=peer, fleet_revision=view.endpoints_revision)
            lapsed_at = view.lapsed_at(clock.now())
            self._endpoint_sync.apply_relayed(
                view.endpoints, view.endpoints_revision, lapsed_at, source=peer
            )
            # Its sender may be behind itself: digests tell up to when it knows all changes.
            self.ctx.streams.replace_list(-math.inf)
            self.record_endpoints_revision(view.endpoints_revision)

    def expire_lapsed_endpoints(self) -> None:
        """Remove lapsed endpoints that were not listed again within the grace period."""
        self._endpoint_sync.expire_lapsed(clock.now())

    def record_endpoints_revision(self, endpoints_revision: int) -> None:
        """Record the platform's revision up to which endpoints were read."""
        if endpoints_revision > self.endpoints_revision:
            self.list_confirmation.revision = endpoints_revision
            self.gossip.send_soon()
        if not self._has_endpoints:
            self._has_endpoints = True
            log(Event.READY)

    # Other entries.

    def _make_digest(self) -> Digest:
        now = clock.now()
        versions = self.endpoints.software_versions
        # An entry that has just started does not know which versions served before.
        is_needed = self.peers.has_recently_started
        self._digest_number += 1
        in_flight = {
            row.id: row.in_flight_here for row in self.endpoints if row.in_flight_here
        }
        return Digest(
            name=self.settings.name,
            address=self.settings.gossip_address,
            incarnation=self._incarnation,
            number=self._digest_number,
            age_s=now - self.started_at,
            leaving=self.stopping_since is not None,
            revision=self.revision.number if self.revision else 0,
            endpoints_revision=self.endpoints_revision,
            in_flight=in_flight,
            used=self.ctx.quotas.report(now),
            fleet_used=self.ctx.quotas.total_usage(now),
            known_peers=self.peers.addresses_to_share(now - self.started_at),
            capacity=self.settings.capacity,
            hall=self.settings.hall,
            configuration_age_s=self.feeds.configuration.age_s(now, -math.inf),
            endpoints_age_s=self.feeds.endpoints.age_s(now, -math.inf),
            orders_revision=self.evacuated.revision,
            crash_reports=self.ctx.crashes.quarantine.next_reports(),
            notices=self.ctx.notices.next_notices(),
            usage_bucket=self.ctx.quotas.current_bucket(now),
            accepts_partial=True,
            tracks_streams=True,
            software_versions=versions.report(now, with_single=is_needed),
            endpoints_answered_s=self.feeds.endpoints.answered_s,
            versions_known_s=self.ctx.streams.versions_known_s() if is_needed else 0,
            endpoints_complete_s=now - self.feeds.endpoints.complete_at,
            configuration_known_s=now - self.ctx.configuration.own_known_at,
        )

    def may_skip_poll(self, feed: Feed) -> bool:
        """Return whether this entry need not poll the platform now, since its peers do.

        Args:
            feed: The part of the published state that would be polled.
        """
        sync = self._endpoint_sync
        if feed is self.feeds.endpoints and (
            sync.must_check_lapses or sync.needs_another_read
        ):
            return False
        known = self._known_revisions()
        if feed is self.feeds.configuration:
            parts = {CONFIGURATION: known.revision, EVACUATIONS: known.orders_revision}
        else:
            parts = {ENDPOINTS: known.endpoints_revision}
        now = clock.now()
        apply_deadline_s = self.settings.apply_deadline_s
        return all(
            self._readers.may_skip_poll(part, feed, revision, apply_deadline_s, now)
            for part, revision in parts.items()
        )

    def _beat(self) -> None:
        """Note that the process runs, and wait until that is due again."""
        self.stalls.beat()
        self.loop_guard.turn()
        eventlet.sleep(BEAT_INTERVAL_S)

    def _find_route(self, name: str) -> Route | None:
        return self.revision.routes_by_name.get(name) if self.revision else None

    def _receive(self, message: Message, arrival: Arrival) -> None:
        """Handle a message from another entry, unless it makes no sense."""
        if is_valid(message):
            self._on_message(message, arrival)
        else:
            kind = type(message).__name__
            log(Event.DIGEST_REFUSED, f"{kind} with an invalid number or address")

    @singledispatchmethod
    def _on_message(self, message: Message, arrival: Arrival) -> None:
        """Handle a message from another entry."""
        raise NotImplementedError(type(message))

    @_on_message.register
    def _(self, state: SlotState, arrival: Arrival) -> None:
        if not _has_lapsed(arrival):
            self.ctx.scheduler.handle_state(state)

    @_on_message.register
    def _(self, reply: SlotReply, arrival: Arrival) -> None:
        if not _has_lapsed(arrival):
            self.ctx.scheduler.handle_reply(reply)

    @_on_message.register
    def _(self, update: CrashUpdate, _: Arrival) -> None:
        self.ctx.crashes.merge(without_invalid_parts(update).crash_reports)

    @_on_message.register
    def _(self, update: NoticeUpdate, arrival: Arrival) -> None:
        valid = without_invalid_parts(update)
        self.ctx.notices.merge(valid.notices, valid.sender, arrival)

    @_on_message.register
    def _(self, report: StreamReport, _: Arrival) -> None:
        self.ctx.streams.handle_report(report)

    @_on_message.register
    def _(self, question: StreamQuestion, _: Arrival) -> None:
        self.ctx.streams.handle_question(question)

    @_on_message.register
    def _(self, digest: Digest, arrival: Arrival) -> None:
        now = arrival.read_at
        digest = without_invalid_parts(digest)
        change = self.peers.merge(digest, now, arrival)
        if not change.is_new:
            return
        previous = change.previous
        self.ctx.crashes.merge(digest.crash_reports)
        self.ctx.notices.merge(digest.notices, digest.name, arrival)
        self.endpoints.software_versions.merge(
            digest.software_versions,
            now,
            known_s=digest.versions_known_s,
            sent_after=arrival.after - MAX_DATAGRAM_DELAY_S,
        )
        if previous is None or previous.digest.incarnation != digest.incarnation:
            self._send_startup_report(digest.address)
        if previous is None:
            log(Event.PEER_UP, peer=digest.name)
        elif previous.digest.incarnation != digest.incarnation:
            self.ctx.quotas.keep_ended_peers([previous])
        # The requests of a silent peer are not counted, so they are not subtracted either.
        was_counted = previous is not None and self.peers.is_heard(previous, now)
        old_in_flight = (
            self._in_flight_not_granted_here(previous.digest)
            if previous is not None and was_counted
            else {}
        )
        if self.endpoints.replace_peer_in_flight(
            old_in_flight, self._in_flight_not_granted_here(digest)
        ):
            self.ctx.scheduler.run_round()

    def _is_probe_owner(self, fingerprint: bytes) -> bool:
        """Return whether this entry is the one to probe a quarantined request.

        Exactly one of the entries that are not silent does so, if all see the same peers.
        """
        own = self.settings.gossip_address
        peers = [row.digest.address for row in self.peers.fresh(clock.now())]
        names = [f"{row.ip}:{row.port}" for row in (own, *peers)]
        return choose(fingerprint.hex(), names) == names[0]

    def _refuse_quarantined(self, fingerprint: bytes) -> None:
        """Refuse at once all waiting requests that have just been quarantined."""
        quarantine = self.ctx.crashes.quarantine

        def refusal_of(job: Job) -> Refusal | None:
            if fingerprint in job.suspects and quarantine.is_quarantined(*job.suspects):
                return quarantine.refusal(*job.suspects)
            return None

        self.ctx.scheduler.refuse(refusal_of)

    def _send_startup_report(self, peer: Address) -> None:
        """Report to an entry that has just started what must not run, and where.

        Software versions that served before it started go with the next digest.
        """
        self.gossip.send_soon()
        report = self.ctx.crashes.startup_report()
        if report is not None:
            self.gossip.send(report, peer)

    def _in_flight_not_granted_here(self, digest: Digest) -> dict[str, int]:
        """Return a peer's requests in flight, except in slots that this entry granted."""
        return {
            endpoint: count
            for endpoint, count in digest.in_flight.items()
            if not self._grants_slots(digest.address, endpoint)
        }

    def _has_slot_clients(self, service: str) -> bool:
        return self.slot_server.has_clients(service)

    def _grants_slots(self, peer: Address, endpoint: str) -> bool:
        row = self.endpoints.get(endpoint)
        return row is not None and self.slot_server.is_client(peer, row.published.service)

    def _recount_in_flight(self, now: float) -> None:
        """Recount the peers' requests in flight, without those of peers now silent."""
        self.endpoints.set_in_flight_elsewhere(
            self.peers.in_flight(now, self._in_flight_not_granted_here)
        )
        self.endpoints.has_silent_peers = bool(self.peers.silent(now))
        self.ctx.entry_count = len(self.peers) + 1
        # Entries that start together take shares of the budgets before they have met.
        is_recent = now - self.started_at < RECENT_START_S
        self.ctx.entry_count += (
            self.peers.never_seen_count if is_recent else self.peers.unheard_count
        )
        self.ctx.scheduler.refresh_coordinators()

    def _run_maintenance(self) -> None:
        eventlet.sleep(MAINTENANCE_INTERVAL_S)
        self.callers.end_stalled(clock.now())
        now = clock.now()
        expired = self.peers.expire(now)
        self.ctx.quotas.keep_ended_peers(expired)
        for row in expired:
            log(Event.PEER_DOWN, peer=row.digest.name)
        self._endpoint_sync.apply_again(now)
        self.expire_lapsed_endpoints()
        self.ctx.notices.expire(now)
        self.ctx.pool.expire()
        self.endpoints.refresh_software_versions(now)
        self.list_confirmation.check(now)
        self.ctx.streams.report_running()
        self._recount_in_flight(now)

    def _stop_accepting(self) -> None:
        """Close the listener, which resets connections that were not accepted yet."""
        if self._acceptor is not None and self._listener is not None:
            self._acceptor.kill()
            self._listener.close()

    def stop(self) -> bool:
        """Accept no new callers, and finish the requests in flight.

        Returns:
            Whether they are finished; ``False`` at once if another call is stopping the
            entry already.
        """
        if self.stopping_since is not None:
            return False
        self.stopping_since = clock.now()
        self._coordinator_selector.is_leaving = True
        log(Event.STOPPING, connections=len(self.callers))
        self.gossip.send_now()
        cut = self.callers.drain(
            self.stopping_since, self.settings.grace_s, self._stop_accepting
        )
        log(Event.STOPPED, cut=cut)
        return True


def _has_lapsed(arrival: Arrival) -> bool:
    """Return whether slots may have been given to others since a message on them arrived.

    It counts as lost. Whoever still waits for slots, or holds some, repeats it.
    """
    return arrival.waited_s > LEASE_S


def _memory_plan(settings: EntrySettings) -> MemoryPlan:
    return memory_plan(settings.memory_mb, settings.max_descriptors)


def _record_margin_s(settings: EntrySettings) -> float:
    """Return for how long an outage lasts at least before a record expires, in seconds.

    A record expires three heartbeats after it was written, of which one may have passed.
    """
    return 2 * settings.heartbeat_s
