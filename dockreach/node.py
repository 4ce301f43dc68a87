"""What every daemon does, whatever its role: links, configuration, VM list, readiness."""

from __future__ import annotations

import time
from collections.abc import Iterator

from . import _green, clock
from .agent_tables import AgentWorld
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
from .rows import rows, why
from .settings import Settings
from .spreading import ConfigStore
from .ticker import Ticker

Incarnation = int


PEERS_TO_HEAR = 2
"""Peers that must know no higher revision before a fresh daemon serves."""

LISTEN_S = 5.0
"""How long a daemon that hears from nobody waits before it serves."""


def new_incarnation() -> Incarnation:
    """Return a number higher than that of any earlier start on the same clock."""
    return time.time_ns() // 1_000_000


class Node:
    """A daemon without its role; `EntryNode` and `AgentNode` derive from it.

    Args:
        settings: The checked settings.
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
        self.heard: set[str] = set()
        self._peers_to_hear = PEERS_TO_HEAR
        self.listening_since = self.started
        self.pauses = 0
        self.ticker = Ticker(self.on_tick, self.on_pause)

    def on_tick(self, inbox: list[tuple[str, object]], now: float) -> float | None:
        """Run the core's tick; return when the next one is due."""
        raise NotImplementedError

    def on_declarations(self, declarations: Declarations) -> None:
        """Newly accepted declarations are in force."""
        raise NotImplementedError

    def on_peer_up(self, hello: Hello) -> None:
        """A peer said hello."""
        raise NotImplementedError

    def on_peer_down(self, name: str, role: str) -> None:
        """A peer was lost."""
        raise NotImplementedError

    def on_heartbeat(self, name: str, beat: Heartbeat) -> None:
        """A peer's heartbeat came; most roles need nothing of it."""

    def on_vms(self) -> None:
        """The VM list changed; most roles need nothing of it."""

    def on_query_rows(self, name: str, message: QueryRows) -> None:
        """A peer answered a query; only entries ask."""

    def is_ready(self) -> bool:
        """Return whether this daemon may serve."""
        in_force = self.config.declarations is not None
        return in_force and not self.leaving and self.is_settled()

    def is_settled(self) -> bool:
        """Return whether enough peers were heard to trust the revision in force.

        A daemon that starts, or wakes from a pause, may read a stale service. It first
        hears from some peers that they know no higher revision; where it hears from
        none, it waits for a while.
        """
        if self.vms.version and len(self.heard) >= self._peers_to_hear:
            return True
        return clock.now() - self.listening_since > LISTEN_S

    def on_pause(self, seconds: float) -> None:
        """The process was stopped for a time: trust nothing learned before."""
        self.pauses += 1
        self.heard.clear()
        self.listening_since = clock.now()
        log(Event.PAUSED, seconds=round(seconds, 1))
        self.links.drop_all()

    def hello(self) -> Hello:
        """Return how this daemon presents itself."""
        return Hello(
            peer=self.name,
            role=self.settings.daemon.role,
            incarnation=self.incarnation,
            hall=self.settings.daemon.hall,
            age_ms=int((clock.now() - self.started) * 1000),
        )

    def heartbeat(self) -> Heartbeat:
        """Return what peers must know each second."""
        return Heartbeat(
            revision=self.config.revision,
            digest=self.config.digest,
            leaving=self.leaving,
            ready=self.is_ready(),
        )

    def peer_up(self, hello: Hello) -> None:
        """Take note of a peer, and tell it at once what a heartbeat would."""
        self.roles[hello.peer] = hello.role
        log(Event.PEER_UP, peer=hello.peer, role=hello.role)
        self.links.send(hello.peer, self.heartbeat())
        self.links.flush()
        self.on_peer_up(hello)

    def peer_down(self, name: str) -> None:
        """Take note that a peer was lost."""
        log(Event.PEER_DOWN, peer=name)
        self.on_peer_down(name, self.roles.pop(name, ""))

    def receive(self, name: str, messages: list[AnyMessage]) -> None:
        """Handle what concerns every role; pass the rest to the core."""
        for message in messages:
            if isinstance(message, Heartbeat):
                self._on_heartbeat(name, message)
            elif isinstance(message, ConfigAsk):
                self._reply(name, self.config.on_ask(message.revision))
            elif isinstance(message, ConfigBody):
                self.offer_config(message.body, name)
            elif isinstance(message, ConfigDelta):
                self._on_delta(name, message)
            elif isinstance(message, VmRows):
                self.take_vms(message)
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
        self._reply(name, QueryRows(number=ask.number, peer=self.name, rows=rows))

    def _reply(self, name: str, message: AnyMessage | None) -> None:
        if message is not None:
            self.links.send(name, message)
            self.links.flush()

    def _on_heartbeat(self, name: str, beat: Heartbeat) -> None:
        conflicts = self.config.conflicts
        ask = self.config.on_heartbeat(beat.revision, beat.digest)
        if self.config.conflicts > conflicts:
            log(Event.CONFIG_CONFLICT, peer=name, revision=beat.revision)
        if ask is None:
            self._hear(name)
        self._reply(name, ask)
        self.on_heartbeat(name, beat)

    def _hear(self, name: str) -> None:
        if name in self.heard:
            return
        was_ready = self.is_ready()
        self.heard.add(name)
        if self.is_ready() and not was_ready:
            log(Event.READY)
            self.announce()

    def announce(self) -> None:
        """Tell all peers at once what a heartbeat would."""
        beat = self.heartbeat()
        for peer in self.links.peers:
            self.links.send(peer, beat)
        self.links.flush()

    def _on_delta(self, name: str, delta: ConfigDelta) -> None:
        try:
            declarations = self.config.on_delta(delta, name)
        except RevisionError as exc:
            log(Event.CONFIG_REFUSED, str(exc), source=name)
            self._reply(name, ConfigAsk(revision=0))
            return
        self._in_force(declarations, name)

    def offer_config(self, body: str, source: str) -> bool:
        """Accept a configuration if it is newer; return whether it was refused."""
        try:
            declarations = self.config.offer(body, source)
        except RevisionError as exc:
            log(Event.CONFIG_REFUSED, str(exc), source=source)
            return True
        self._in_force(declarations, source)
        return False

    def _in_force(self, declarations: Declarations | None, source: str) -> None:
        if declarations is None:
            return
        log(Event.CONFIG_IN_FORCE, revision=declarations.revision, source=source)
        self.announce()
        self.on_declarations(declarations)

    def take_vms(self, rows: VmRows) -> None:
        """Adopt a newer VM list."""
        if rows.version <= self.vms.version:
            return
        self.vms = rows
        live = [row.vm for row in rows.rows if row.state == "live"]
        self._peers_to_hear = min(PEERS_TO_HEAR, len({*live} - {self.name}))
        self.on_vms()

    def vm_of(self, name: str) -> VmRow | None:
        """Return a daemon's row of the VM list; ``None`` if it is not listed."""
        for row in self.vms.rows:
            if row.vm == name:
                return row
        return None

    def link_samples(self) -> Iterator[Sample]:
        """Return samples on the traffic of all links."""
        count = self.links.count()
        for name, value in count._asdict().items():
            text = f"Traffic between daemons: {name.replace('_', ' ')}"
            yield Sample(f"dockreach_link_{name}_total", text, value, {})
        text = "Peers linked now"
        yield Sample("dockreach_peers", text, len(self.links.peers), {}, counter=False)
        yield Sample("dockreach_ticks_total", "Ticks run", self.ticker.ticks, {})

    def tables(self) -> EntryWorld | AgentWorld:
        """Return the core's tables."""
        raise NotImplementedError

    async def open_links(self) -> int:
        """Listen for peers and return the port."""
        return await self.links.serve(self.settings.listen.link)

    def start(self) -> None:
        """Run the core from now on."""
        _green.start(self.ticker.run())


def local_rows(node: Node, query: Query) -> list[Row]:
    """Return one daemon's rows for a query, filtered but not yet ordered."""
    world = node.tables()
    if isinstance(query, Why):
        return list(why(world, query.rid)) if isinstance(world, EntryWorld) else []
    if query.table == "config":
        found: list[Row] = [_config_row(node)]
    else:
        found = list(rows(world, query.table))
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
