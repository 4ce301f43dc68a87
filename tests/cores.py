"""Cores of entries and agents, connected without sockets, for tests of decisions."""

from __future__ import annotations

from dataclasses import dataclass, field

from dockreach import agent, entry
from dockreach.agent_tables import (
    AgentPolicy,
    AgentWorld,
    EngineAction,
    PeerDown,
    PeerUp,
    ResumeRun,
    StartRun,
)
from dockreach.capacity import EngineModel
from dockreach.claims import begin_rebuild
from dockreach.declarations import Declarations, key_hash, parse
from dockreach.entry_tables import (
    Admit,
    AgentDown,
    AgentUp,
    Configured,
    EntryPolicy,
    EntryUp,
    EntryWorld,
    Phase,
    RequestRow,
)
from dockreach.limits import LimitTable
from dockreach.messages import AnyMessage, Commit
from dockreach.prefix import PrefixIndex


def parse_declarations(endpoints: int, entries: int = 1, extra: str = "") -> Declarations:
    """Return declarations of one pool with a number of endpoints."""
    names = ", ".join(f"n{index}" for index in range(entries))
    parts = [f"[fleet]\nrevision=1\nentries={names}\n[pool p]"]
    parts += [f"[endpoint e{index}]\npool=p\nhall=h" for index in range(endpoints)]
    parts += [f"[tier t{rank}]\nrank={rank}" for rank in range(3)]
    for name in ("org", "other"):
        text = f"[organisation {name}]\nkey_sha256={key_hash(name)}\ntiers=t0,t1,t2"
        parts.append(text + extra)
    return parse("\n".join(parts))


def new_admit(rid: str, *, tier: int = 0, key: bool = False, deadline: float = 10) -> Admit:
    """Return a small request."""
    return Admit(
        rid=rid,
        organisation="org",
        tier=tier,
        pool="p",
        deadline_s=deadline,
        prompt_tokens=100,
        output_tokens=20,
        blocks=(1, 2),
        method="POST",
        path="/v1/completions",
        body=b"{}",
        content_type="application/json",
        stream=True,
        keyed=key,
        digest="d",
    )


@dataclass
class SimulatedNetwork:
    """Entries and agents that exchange messages in rounds over links that can be cut."""

    entries: dict[str, EntryWorld]
    agents: dict[str, AgentWorld]
    now: float = 0.0
    inboxes: dict[str, list[tuple[str, object]]] = field(default_factory=dict)
    cut_links: set[frozenset[str]] = field(default_factory=set)
    paused: set[str] = field(default_factory=set)
    dispatched: list[tuple[str, str]] = field(default_factory=list)
    lookups: list[tuple[str, ResumeRun]] = field(default_factory=list)
    sent_messages: list[tuple[str, str, AnyMessage]] = field(default_factory=list)
    incarnation: int = 1

    def deliver(self, node: str, message: object, peer: str = "") -> None:
        """Put a message into a node's inbox."""
        self.inboxes.setdefault(node, []).append((peer, message))

    def step(self, seconds: float = 0.005) -> None:
        """Tick every node once, then deliver the messages that they sent."""
        self.now += seconds
        sent: list[tuple[str, str, AnyMessage]] = []
        for name, agent_world in self.agents.items():
            if name in self.paused:
                continue
            agent_output = agent.tick(agent_world, self._take_inbox(name), self.now)
            sent += [(name, to, message) for to, message in agent_output.messages]
            self._record_actions(name, agent_output.actions)
        for name, entry_world in self.entries.items():
            if name in self.paused:
                continue
            output = entry.tick(entry_world, self._take_inbox(name), self.now)
            sent += [(name, to, message) for to, message in output.messages]
        for source, target, message in sent:
            self.sent_messages.append((source, target, message))
            if frozenset((source, target)) not in self.cut_links:
                self.deliver(target, message, source)

    def steps(self, count: int, seconds: float = 0.005) -> None:
        """Run several steps."""
        for _ in range(count):
            self.step(seconds)

    def link_all(self) -> None:
        """Establish all links."""
        for entry_name in self.entries:
            for agent_name in self.agents:
                self.link(entry_name, agent_name)
            for other in self.entries:
                if other != entry_name:
                    self.deliver(entry_name, EntryUp(1, 1000.0), other)

    def link(self, entry_name: str, agent_name: str) -> None:
        """Establish a link between an entry and an agent."""
        self.cut_links.discard(frozenset((entry_name, agent_name)))
        up = AgentUp("h", self.agents[agent_name].incarnation, 1000.0)
        self.deliver(entry_name, up, agent_name)
        self.deliver(agent_name, PeerUp("entry", 1, 1000.0), entry_name)

    def unlink(self, entry_name: str, agent_name: str) -> None:
        """Cut a link: both ends are notified, and messages in transit are lost."""
        self.cut_links.add(frozenset((entry_name, agent_name)))
        self._discard_messages(entry_name, agent_name)
        self._discard_messages(agent_name, entry_name)
        self.deliver(entry_name, AgentDown(), agent_name)
        self.deliver(agent_name, PeerDown(), entry_name)

    def restart_agent(self, name: str) -> None:
        """Replace an agent by a new incarnation without any state."""
        self.incarnation += 1
        for entry_name in self.entries:
            self.deliver(entry_name, AgentDown(), name)
        self.inboxes[name] = []
        self.agents[name] = new_agent(name, self.incarnation, self.now)
        for entry_name in self.entries:
            self.link(entry_name, name)

    def request(self, rid: str, entry_name: str = "n0") -> RequestRow:
        """Return the row of a running or ended request; of several attempts, the latest."""
        world = self.entries[entry_name]
        if rid in world.requests:
            return world.requests[rid]
        return next(row for row in reversed(world.ended) if row.rid == rid)

    def request_phase(self, rid: str) -> Phase | None:
        """Return the phase of a running request; ``None`` if it is unknown."""
        row = self.entries["n0"].requests.get(rid)
        return row.phase if row else None

    def run_count(self, rid: str) -> int:
        """Return how many times a request was dispatched to engines."""
        return sum(1 for _, seen in self.dispatched if seen == rid)

    def commits(self, rid: str) -> list[Commit]:
        """Return the commits that entries sent for a request."""
        return [
            message
            for _, _, message in self.sent_messages
            if isinstance(message, Commit) and message.rid == rid
        ]

    def _take_inbox(self, name: str) -> list[tuple[str, object]]:
        return self.inboxes.pop(name, [])

    def _discard_messages(self, node: str, peer: str) -> None:
        remaining = [item for item in self.inboxes.get(node, []) if item[0] != peer]
        self.inboxes[node] = remaining

    def _record_actions(self, name: str, actions: list[EngineAction]) -> None:
        for action in actions:
            if isinstance(action, StartRun):
                self.dispatched.append((name, action.commit.rid))
            elif isinstance(action, ResumeRun):
                self.lookups.append((name, action))


def new_agent(name: str, incarnation: int, now: float) -> AgentWorld:
    """Return the tables of an agent that has received the declarations."""
    return AgentWorld(
        name,
        incarnation,
        EngineModel(4, 4000.0, 0.02, 0.039),
        PrefixIndex(100),
        AgentPolicy(),
        started=now,
        now=now,
    )


def new_network(endpoints: int = 2, entries: int = 1, extra: str = "") -> SimulatedNetwork:
    """Return a linked network in which the key owners have rebuilt their claims."""
    declarations = parse_declarations(endpoints, entries, extra)
    entry_worlds = {}
    for index in range(entries):
        name = f"n{index}"
        limits = LimitTable(name, started=-100.0)
        world = EntryWorld(name, 1, declarations, limits, EntryPolicy())
        entry_worlds[name] = world
    agents = {f"e{index}": new_agent(f"e{index}", 1, 0.0) for index in range(endpoints)}
    network = SimulatedNetwork(entry_worlds, agents)
    for name in entry_worlds:
        network.deliver(name, Configured(declarations))
    network.link_all()
    network.steps(2)
    for world_of_agent in agents.values():
        begin_rebuild(world_of_agent)
    network.steps(4)
    return network
