"""An entry of the direct path: listens to callers, follows the fleet, stops in order."""

from __future__ import annotations

import secrets
import time
import traceback
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any

import eventlet

from ..errors import CallerGoneError, RevisionError
from ..events import Event, log
from ..metrics import Metrics, Sample, counter_samples, process_samples
from ..verdict import Reason, Refusal, Verdict
from . import view as views
from .context import Context
from .dialect import Dialect
from .digest import Digest
from .dispatching import Choice, Dispatcher
from .endpoints import EndpointTable, Published
from .entry_settings import EntrySettings
from .exchange import Exchange
from .fleet import CallerLimits, Revision
from .gossip import Gossip
from .helping import Helping, Knowledge
from .http1 import BadRequestError, CallerConnection, RawHead, RawRequest, listen
from .peers import PeerTable
from .pool import ConnectionPool
from .retrying import RetryBudget
from .scheduling import Scheduler
from .spending import SpendTable
from .view import View

CONNECT_S = 0.4
"""Longest wait for a connection to an endpoint, in seconds: a hundred round trips."""

LAPSE_S = 2.2
"""How long endpoints that vanished while the platform was away are kept, in seconds. The
platform says that those which live are back about two seconds after its return."""

ROUND_S = 0.1
"""Time between rounds that expire what is old, in seconds."""

NOTICE_S = 2.5
"""Time after the signal to stop in which callers may still arrive, in seconds: the
balancer asks each second and takes an entry out after two misses."""

END_EARLY_S = 0.7
"""How long before the end by force the entry ends by itself, in seconds."""


class Entry:
    """One entry. The adapter calls it with what the platform publishes.

    Args:
        settings: What it was told.
        dialect: The platform's wording of requests.
        choice: How endpoints are chosen.
    """

    def __init__(
        self,
        settings: EntrySettings,
        dialect: Dialect,
        choice: Choice = Choice.MEASURED,
    ) -> None:
        self.settings = settings
        self.started = time.monotonic()
        self.revision: Revision | None = None
        self.stopping_since: float | None = None
        self._fleet_revision = 0
        self._has_endpoints = False
        self._dialect = dialect
        self._incarnation = secrets.randbits(63)
        self._number = 0
        self._connections: dict[CallerConnection, Any] = {}
        self.endpoints = EndpointTable()
        self.peers = PeerTable(settings.gossip, settings.seeds)
        self.gossip = Gossip(
            settings.gossip, self.peers, self._make_digest, self._on_digest
        )
        self.dispatcher = Dispatcher(self.endpoints, settings.hall, choice)
        self._platform_answered = 0.0
        self._helping = Helping(self.peers, self._knowledge, self._take_view)
        self.ctx = Context(
            dialect=dialect,
            endpoints=self.endpoints,
            scheduler=Scheduler(self.dispatcher, self.gossip.changed),
            spending=SpendTable(
                self.peers,
                settings.tolerance,
                started=self.started,
                has_past=settings.has_past,
            ),
            retries=RetryBudget(settings.retries),
            pool=ConnectionPool(CONNECT_S),
            metrics=Metrics(settings.name),
        )

    def start(self) -> None:
        """Listen, and follow the other entries."""
        self.gossip.start()
        callers = listen(self.settings.callers.ip, self.settings.callers.port)
        health = listen(self.settings.health.ip, self.settings.health.port)
        self._callers = callers
        eventlet.spawn(self._accept, callers, self._serve_callers)
        eventlet.spawn(self._accept, health, self._serve_pages)
        if self.settings.metrics is not None:
            metrics = self.settings.metrics
            eventlet.spawn(
                self._accept, listen(metrics.ip, metrics.port), self._serve_pages
            )
        gossip = self.settings.gossip
        eventlet.spawn(self._accept, listen(gossip.ip, gossip.port), self._serve_pages)
        eventlet.spawn(self._helping.run)
        eventlet.spawn(self._rounds)
        log(Event.STARTED, daemon_hall=self.settings.hall, has_past=self.settings.has_past)

    def apply(self, settings: EntrySettings) -> None:
        """Put changed settings in force; addresses and names stay until a restart."""
        self.settings = replace(
            self.settings,
            seeds=settings.seeds,
            grace_s=settings.grace_s,
            tolerance=settings.tolerance,
            retries=settings.retries,
        )
        self.peers.seeds = settings.seeds
        self.ctx.spending.tolerance = settings.tolerance
        self.ctx.retries.policy = settings.retries
        log(Event.SETTINGS_IN_FORCE, seeds=len(settings.seeds))

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send callers here."""
        known = self.revision is not None and self._has_endpoints
        return known and self.stopping_since is None

    # What the platform publishes.

    def take_revision(self, revision: Revision, source: str) -> bool:
        """Put a configuration in force if it is newer; return whether it was."""
        if self.revision is not None and revision.number <= self.revision.number:
            return False
        self.revision = revision
        log(Event.CONFIG_IN_FORCE, revision=revision.number, source=source)
        self.gossip.changed()
        return True

    def take_endpoint(self, published: Published) -> None:
        """Add an endpoint, or replace what is known of it."""
        row = self.endpoints.get(published.id)
        was_leaving = row is not None and row.published.leaving
        if self.endpoints.publish(published) or was_leaving != published.leaving:
            log(
                Event.ENDPOINT_PUBLISHED,
                endpoint=published.id,
                service=published.service,
                leaving=published.leaving,
            )
        self.ctx.scheduler.pump()

    def lose_endpoint(self, endpoint: str, *, after_outage: bool = False) -> None:
        """Take an endpoint off: the platform says that it has left.

        Args:
            endpoint: Its id.
            after_outage: Whether it may only have lapsed while the platform was away; it
                is then kept until it should be back.
        """
        row = self.endpoints.get(endpoint)
        if row is None:
            return
        if after_outage and not row.published.leaving:
            row.lapsed_until = row.lapsed_until or time.monotonic() + LAPSE_S
            return
        if self.endpoints.remove(endpoint):
            self.ctx.pool.drop(row.published.address)
            log(Event.ENDPOINT_GONE, endpoint=endpoint, under_way=row.own)

    def take_all(
        self, published: list[Published], fleet_revision: int, *, after_outage: bool = False
    ) -> None:
        """Replace the list of endpoints.

        Args:
            published: All that the platform lists.
            fleet_revision: The platform's revision of the list.
            after_outage: Whether entries of living endpoints may be missing.
        """
        listed = {item.id for item in published}
        for item in published:
            self.take_endpoint(item)
        for row in self.endpoints:
            if row.id not in listed:
                self.lose_endpoint(row.id, after_outage=after_outage)
        self._note_fleet(fleet_revision)

    def _knowledge(self) -> Knowledge:
        revision = self.revision.number if self.revision else 0
        return Knowledge(revision, self._fleet_revision, self._platform_answered)

    def _view(self) -> View:
        text = self.revision.text if self.revision else b""
        published = [row.published for row in self.endpoints]
        number = self.revision.number if self.revision else 0
        return View(number, text, self._fleet_revision, published)

    def _take_view(self, view: View, peer: str) -> None:
        """Take in what a peer knows, as far as it is newer."""
        if view.revision > self._knowledge().revision:
            try:
                self.take_revision(self._dialect.read_revision(view.text), peer)
            except RevisionError as exc:
                log(Event.CONFIG_REFUSED, str(exc), source=peer)
        if view.fleet_revision > self._fleet_revision and view.endpoints:
            log(Event.VIEW_TAKEN, peer=peer, fleet_revision=view.fleet_revision)
            self.take_all(view.endpoints, view.fleet_revision)

    def reached(self, fleet_revision: int) -> None:
        """Note up to which revision of the platform endpoints were read."""
        self._platform_answered = time.monotonic()
        self._note_fleet(fleet_revision)

    def _note_fleet(self, fleet_revision: int) -> None:
        self._fleet_revision = max(fleet_revision, self._fleet_revision)
        if not self._has_endpoints:
            self._has_endpoints = True
            log(Event.READY)

    # Other entries.

    def _make_digest(self) -> Digest:
        now = time.monotonic()
        self._number += 1
        under_way = {row.id: row.own for row in self.endpoints if row.own}
        return Digest(
            name=self.settings.name,
            address=self.settings.gossip,
            incarnation=self._incarnation,
            number=self._number,
            age_s=now - self.started,
            leaving=self.stopping_since is not None,
            revision=self.revision.number if self.revision else 0,
            fleet_revision=self._fleet_revision,
            under_way=under_way,
            waiting=self.dispatcher.waiting(),
            spent=self.ctx.spending.own(now),
            fleet_spent=self.ctx.spending.fleet(now),
            known=self.peers.told(),
        )

    def _on_digest(self, digest: Digest) -> None:
        now = time.monotonic()
        heard = self.peers.receive(digest, now)
        if not heard.is_news:
            return
        before = heard.before
        if before is None:
            log(Event.PEER_UP, peer=digest.name)
        elif before.digest.incarnation != digest.incarnation:
            self.ctx.spending.keep_ended([before])
        # What a silent peer told does not count, and so is not taken off.
        counted = before is not None and before.is_fresh(now)
        old = before.digest.under_way if before is not None and counted else {}
        if self.endpoints.change_others(old, digest.under_way):
            self.ctx.scheduler.pump()

    def _count_others(self, now: float) -> None:
        """Count anew what others have under way: some may have fallen silent."""
        self.endpoints.set_others(self.peers.under_way(now))
        self.ctx.entries = len(self.peers) + 1
        self.ctx.scheduler.pump()

    def _rounds(self) -> None:
        while True:
            eventlet.sleep(ROUND_S)
            now = time.monotonic()
            gone = self.peers.expire(now)
            self.ctx.spending.keep_ended(gone)
            for row in gone:
                log(Event.PEER_DOWN, peer=row.digest.name)
            self._end_lapsed(now)
            self.ctx.pool.expire()
            self._count_others(now)

    def _end_lapsed(self, now: float) -> None:
        for row in self.endpoints:
            if row.lapsed_until is not None and now >= row.lapsed_until:
                self.lose_endpoint(row.id)

    # Callers.

    def _accept(self, listener: Any, serve: Callable[[Any], None]) -> None:  # noqa: ANN401
        while True:
            try:
                sock, _ = listener.accept()
            except OSError as exc:
                if self.stopping_since is not None:
                    return
                log(Event.ACCEPT_FAILED, str(exc))
                eventlet.sleep(ROUND_S)
                continue
            eventlet.spawn_n(serve, sock)

    def _limits(self) -> CallerLimits:
        return self.revision.limits if self.revision else CallerLimits()

    def _serve_callers(self, sock: Any) -> None:  # noqa: ANN401
        try:
            conn = CallerConnection(sock, self._limits())
        except OSError:
            # The caller reset the connection before it was served.
            sock.close()
            return
        self._connections[conn] = eventlet.getcurrent()
        try:
            self._serve_connection(conn)
        except CallerGoneError:
            self.ctx.counters.callers_gone += 1
        except Exception as exc:  # noqa: BLE001
            # A fault of the program ends one connection and not the entry.
            log(Event.INTERNAL_ERROR, repr(exc), trace=traceback.format_exc())
            conn.abort()
        finally:
            del self._connections[conn]
            conn.close()

    def _serve_connection(self, conn: CallerConnection) -> None:
        while True:
            try:
                raw = conn.read_request()
            except BadRequestError as exc:
                self._refuse_bad(conn, exc)
                return
            if raw is None:
                return
            conn.is_closing = self.stopping_since is not None
            try:
                self._serve_watched(conn, raw)
            except BadRequestError as exc:
                self._refuse_bad(conn, exc)
                return
            if not conn.next_request():
                return

    def _serve_watched(self, conn: CallerConnection, raw: RawRequest) -> None:
        """Serve a request; stop at once when the caller leaves.

        Raises:
            CallerGoneError: It left.
        """
        server = eventlet.spawn(self._serve_request, conn, raw)
        watcher = eventlet.spawn(self._watch, conn, server)
        try:
            server.wait()
        finally:
            watcher.kill()

    @staticmethod
    def _watch(conn: CallerConnection, server: Any) -> None:  # noqa: ANN401
        conn.watch()
        server.kill(CallerGoneError("caller closed its connection"))

    def _serve_request(self, conn: CallerConnection, raw: RawRequest) -> None:
        req = self._dialect.read_request(raw, time.monotonic())
        if self.revision is None or self._is_too_late():
            reason = Reason.STOPPING if self.revision else Reason.NOT_READY
            refusal = Refusal(Verdict.NOT_RUN, reason, retry_after_s=ROUND_S)
            log(Event.REQUEST_REFUSED, rid=req.rid, reason=reason.value)
            conn.send_whole(*self._dialect.refusal(refusal, req.rid))
            return
        Exchange(self.ctx, self.revision, req, conn).run()

    def _is_too_late(self) -> bool:
        """Return whether what is taken now might not be finished before the end."""
        if self.stopping_since is None:
            return False
        return time.monotonic() > self.stopping_since + NOTICE_S

    def _refuse_bad(self, conn: CallerConnection, exc: BadRequestError) -> None:
        log(Event.BAD_REQUEST, str(exc), status=exc.status)
        if conn.head_sent:
            return
        conn.is_closing = True
        conn.send_whole(RawHead(exc.status, b"Bad Request", []), b"")

    def _serve_pages(self, sock: Any) -> None:  # noqa: ANN401
        """Answer the balancer, other entries and whoever reads the metrics."""
        try:
            conn = CallerConnection(sock, CallerLimits())
            while (raw := conn.read_request()) is not None:
                conn.send_whole(*self._page(raw.target))
                if not conn.next_request():
                    break
        except (BadRequestError, CallerGoneError, OSError) as exc:
            log(Event.PAGE_FAILED, str(exc))
        finally:
            sock.close()

    def _page(self, target: bytes) -> tuple[RawHead, bytes]:
        if target == views.PATH:
            return RawHead(200, b"OK", []), views.encode(self._view())
        if target == self.settings.metrics_path.encode():
            body, kind = self.ctx.metrics.page(self._samples())
            return RawHead(200, b"OK", [(b"Content-Type", kind.encode())]), body
        return RawHead(200 if self.is_ready else 503, b"", []), b""

    def _samples(self) -> Iterator[Sample]:
        yield from process_samples(self.started)
        yield from counter_samples("direct", self.ctx.counters)
        gauges = {
            "peers": len(self.peers),
            "endpoints": len(self.endpoints),
            "revision": self.revision.number if self.revision else 0,
            "under_way": sum(row.own for row in self.endpoints),
            "waiting": sum(self.dispatcher.waiting().values()),
            "digests_sent": self.gossip.sent,
            "connections_opened": self.ctx.pool.opened,
            "connections_reused": self.ctx.pool.reused,
        }
        for name, value in gauges.items():
            text = name.replace("_", " ").capitalize()
            yield Sample(f"dockreach_direct_{name}", text, value, {}, counter=False)

    # The end.

    def stop(self) -> None:
        """Take no new callers, finish what was taken, then return."""
        if self.stopping_since is not None:
            return
        self.stopping_since = time.monotonic()
        log(Event.STOPPING, connections=len(self._connections))
        self.gossip.send_now()
        for conn in self._connections:
            conn.is_closing = True
        end = self.stopping_since + self.settings.grace_s - END_EARLY_S
        notice_end = self.stopping_since + NOTICE_S
        while time.monotonic() < end:
            now = time.monotonic()
            if now >= notice_end:
                self._close_idle()
                if not self._connections:
                    break
            eventlet.sleep(ROUND_S / 2)
        log(Event.STOPPED, cut=len(self._connections))

    def _close_idle(self) -> None:
        """Close connections on which no request is under way.

        What crosses the close is not read, so that its caller sees a reset and may send
        it again.
        """
        for conn, server in list(self._connections.items()):
            if conn.is_idle:
                eventlet.kill(server, CallerGoneError("the entry stops"))
