"""The common part of entries and agents: links, configuration, VM list and readiness."""

from __future__ import annotations

import time
from collections.abc import Iterator

from . import _green, clock
from .agent_tables import AgentWorld
from .config_store import ConfigStore
from .declarations import Declarations
from .entry_tables import EntryWorld
from .errors import QueryError, RevisionError
from .events import Event, log
from .link import Links
from .messages import (
    AnyMessage,
    ConfigAsk,
    ConfigBody,
    ConfigDelta,
    Heartbeat,
    Hello,
    QueryAsk,
    QueryRows,
    VmRow,
    VmRows,
)
from .metrics import Sample
from .query import Query, Row, Why, matches
from .query import parse as parse_query
from .query_tables import decision_rows, table_rows
from .settings import Settings
from .ticker import Ticker

Incarnation = int


MIN_CONFIRMATIONS = 2
"""Peers that must confirm that they have no newer revision before a daemon that has started
or was paused serves."""

CONFIRMATION_TIMEOUT_S = 5.0
"""Time after which a daemon serves although too few peers have confirmed its revision."""


def new_incarnation() -> Incarnation:
    """Return the incarnation number of this start, taken from the system clock.

    It is higher than the numbers of earlier starts as long as the clock is not set back.
    """
    return time.time_ns() // 1_000_000


class Node:
    """Base class of the two daemons, `EntryNode` and `AgentNode`.

    Args:
        settings: The validated settings.

    Attributes:
        vms: The newest VM list of the platform, or the part of it that an entry sent.
        roles: Roles of the linked peers, by name.
        leaving: Whether this daemon accepts no new work because it is about to stop.
        confirming_peers: Peers that have reported no newer revision since the start or the
            last pause.
        unconfirmed_since: Monotonic time of the start or the last pause.
        pauses: How often the process was stopped for a while.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.name = settings.daemon.name
        self.incarnation = new_incarnation()
        self.started = clock.now()
        self.config = ConfigStore()
        self.links = Links(self)
        self.vms = VmRows(version=0, rows=())
        self.roles: dict[str, str] = {}
        self.leaving = False
        self.confirming_peers: set[str] = set()
        self._confirmations_needed = MIN_CONFIRMATIONS
        self.unconfirmed_since = self.started
        self.pauses = 0
        self.ticker = Ticker(self.on_tick, self.on_pause)

    def on_tick(self, inbox: list[tuple[str, object]], now: float) -> float | None:
        """Run the core's tick; return when the next one is due."""
        raise NotImplementedError

    def on_declarations(self, declarations: Declarations) -> None:
        """Apply newly accepted declarations."""
        raise NotImplementedError

    def on_peer_up(self, hello: Hello) -> None:
        """Handle a peer whose link is up."""
        raise NotImplementedError

    def on_peer_down(self, name: str, role: str) -> None:
        """Handle a peer whose link was lost."""
        raise NotImplementedError

    def on_heartbeat(self, name: str, beat: Heartbeat) -> None:
        """Handle a peer's heartbeat; does nothing by default."""

    def on_vms(self) -> None:
        """Handle a new VM list; does nothing by default."""

    def on_query_rows(self, name: str, message: QueryRows) -> None:
        """Handle a peer's reply to an operator's query; only entries send queries."""

    def is_ready(self) -> bool:
        """Return whether this daemon may serve."""
        has_config = self.config.declarations is not None
        return has_config and not self.leaving and self.is_revision_confirmed()

    def is_revision_confirmed(self) -> bool:
        """Return whether the current revision can be trusted to be the newest one.

        The platform may return an old revision to a daemon that starts, or continues after
        a pause. The daemon therefore waits until some peers have confirmed that they have
        no newer revision, or for `CONFIRMATION_TIMEOUT_S` if too few of them respond.
        """
        if self.vms.version and len(self.confirming_peers) >= self._confirmations_needed:
            return True
        return clock.now() - self.unconfirmed_since > CONFIRMATION_TIMEOUT_S

    def on_pause(self, seconds: float) -> None:
        """Handle a time in which the process was stopped, after which its state is stale.

        All links are closed, and peers must confirm the current revision again.
        """
        self.pauses += 1
        self.confirming_peers.clear()
        self.unconfirmed_since = clock.now()
        log(Event.PAUSED, seconds=round(seconds, 1))
        self.links.close_all()

    def hello(self) -> Hello:
        """Return the first message of each link, which identifies this daemon."""
        return Hello(
            peer=self.name,
            role=self.settings.daemon.role,
            incarnation=self.incarnation,
            hall=self.settings.daemon.hall,
            age_ms=int((clock.now() - self.started) * 1000),
        )

    def heartbeat(self) -> Heartbeat:
        """Return the current heartbeat."""
        return Heartbeat(
            revision=self.config.revision,
            digest=self.config.digest,
            leaving=self.leaving,
            ready=self.is_ready(),
        )

    def peer_up(self, hello: Hello) -> None:
        """Handle a peer whose link is up, and send it a heartbeat at once."""
        self.roles[hello.peer] = hello.role
        log(Event.PEER_UP, peer=hello.peer, role=hello.role)
        self.links.send(hello.peer, self.heartbeat())
        self.links.flush()
        self.on_peer_up(hello)

    def peer_down(self, name: str) -> None:
        """Handle a peer whose link was lost."""
        log(Event.PEER_DOWN, peer=name)
        self.on_peer_down(name, self.roles.pop(name, ""))

    def receive(self, name: str, messages: list[AnyMessage]) -> None:
        """Handle messages that are common to both roles; pass the others to the core."""
        for message in messages:
            if isinstance(message, Heartbeat):
                self._on_heartbeat(name, message)
            elif isinstance(message, ConfigAsk):
                self._send_reply(name, self.config.on_ask(message.revision))
            elif isinstance(message, ConfigBody):
                self.handle_config(message.body, name)
            elif isinstance(message, ConfigDelta):
                self._on_delta(name, message)
            elif isinstance(message, VmRows):
                self.apply_vm_rows(message)
            elif isinstance(message, QueryAsk):
                self._answer_query(name, message)
            elif isinstance(message, QueryRows):
                self.on_query_rows(name, message)
            else:
                self.ticker.put(name, message)

    def _answer_query(self, name: str, ask: QueryAsk) -> None:
        try:
            rows = tuple(local_rows(self, parse_query(ask.text)))
        except QueryError:
            rows = ()
        self._send_reply(name, QueryRows(number=ask.number, peer=self.name, rows=rows))

    def _send_reply(self, name: str, message: AnyMessage | None) -> None:
        if message is not None:
            self.links.send(name, message)
            self.links.flush()

    def _on_heartbeat(self, name: str, beat: Heartbeat) -> None:
        conflicts = self.config.conflicts
        ask = self.config.on_heartbeat(beat.revision, beat.digest)
        if self.config.conflicts > conflicts:
            log(Event.CONFIG_CONFLICT, peer=name, revision=beat.revision)
        if ask is None:
            self._record_confirmation(name)
        self._send_reply(name, ask)
        self.on_heartbeat(name, beat)

    def _record_confirmation(self, name: str) -> None:
        if name in self.confirming_peers:
            return
        was_ready = self.is_ready()
        self.confirming_peers.add(name)
        if self.is_ready() and not was_ready:
            log(Event.READY)
            self.broadcast_heartbeat()

    def broadcast_heartbeat(self) -> None:
        """Send a heartbeat to all peers at once."""
        beat = self.heartbeat()
        for peer in self.links.peers:
            self.links.send(peer, beat)
        self.links.flush()

    def _on_delta(self, name: str, delta: ConfigDelta) -> None:
        try:
            declarations = self.config.on_delta(delta, name)
        except RevisionError as exc:
            log(Event.CONFIG_REFUSED, str(exc), source=name)
            self._send_reply(name, ConfigAsk(revision=0))
            return
        self._activate(declarations, name)

    def handle_config(self, body: str, source: str) -> bool:
        """Apply a configuration if it is newer; return whether it was refused."""
        try:
            declarations = self.config.accept(body, source)
        except RevisionError as exc:
            log(Event.CONFIG_REFUSED, str(exc), source=source)
            return True
        self._activate(declarations, source)
        return False

    def _activate(self, declarations: Declarations | None, source: str) -> None:
        if declarations is None:
            return
        log(Event.CONFIG_IN_FORCE, revision=declarations.revision, source=source)
        self.broadcast_heartbeat()
        self.on_declarations(declarations)

    def apply_vm_rows(self, rows: VmRows) -> None:
        """Apply a VM list if it is newer."""
        if rows.version <= self.vms.version:
            return
        self.vms = rows
        live = [row.vm for row in rows.rows if row.state == "live"]
        self._confirmations_needed = min(MIN_CONFIRMATIONS, len({*live} - {self.name}))
        self.on_vms()

    def vm_of(self, name: str) -> VmRow | None:
        """Return a daemon's row of the VM list; ``None`` if it is not listed."""
        for row in self.vms.rows:
            if row.vm == name:
                return row
        return None

    def link_samples(self) -> Iterator[Sample]:
        """Return metric samples about links and ticks."""
        traffic = self.links.traffic()
        for name, value in traffic._asdict().items():
            text = f"Traffic between daemons: {name.replace('_', ' ')}"
            yield Sample(f"dockreach_link_{name}_total", text, value, {})
        text = "Peers linked now"
        yield Sample("dockreach_peers", text, len(self.links.peers), {}, is_counter=False)
        yield Sample("dockreach_ticks_total", "Ticks run", self.ticker.ticks, {})

    def tables(self) -> EntryWorld | AgentWorld:
        """Return the core's tables."""
        raise NotImplementedError

    async def open_links(self) -> int:
        """Listen for peers and return the port."""
        return await self.links.serve(self.settings.listen.link)

    def start(self) -> None:
        """Start the ticks of the core."""
        _green.start_coroutine(self.ticker.run())


def local_rows(node: Node, query: Query) -> list[Row]:
    """Return one daemon's rows for a query, filtered but not yet sorted."""
    world = node.tables()
    if isinstance(query, Why):
        return (
            list(decision_rows(world, query.rid)) if isinstance(world, EntryWorld) else []
        )
    if query.table == "config":
        found: list[Row] = [_config_row(node)]
    else:
        found = list(table_rows(world, query.table))
    for row in found:
        row.setdefault("hall", node.settings.daemon.hall)
    return [row for row in found if matches(query, row)]


def _config_row(node: Node) -> Row:
    return {
        "daemon": node.name,
        "role": node.settings.daemon.role,
        "revision": node.config.revision,
        "hash": node.config.digest,
        "conflicts": node.config.conflicts,
        "ready": node.is_ready(),
    }
