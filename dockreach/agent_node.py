"""The agent daemon: runs beside one endpoint and connects it to the entries.

The decisions are made by the core in `agent`; this module does the input and output.
"""

from __future__ import annotations

from collections.abc import Iterator

from . import _green, claims, clock, endpoints
from .agent import next_wake, tick
from .agent_tables import (
    AgentPolicy,
    AgentWorld,
    CancelRun,
    EngineAction,
    EngineChunk,
    EngineNotRun,
    EngineReachable,
    EngineResumed,
    PeerDown,
    PeerUp,
    ResumeRun,
    StartRun,
)
from .capacity import EngineModel
from .declarations import Declarations, Endpoint
from .events import Event, log
from .messages import Hello
from .metrics import Metrics, Sample, counter_samples, process_samples
from .node import Node
from .orders import LoadOrderPlanner
from .pages import PageRouter
from .prefix import PrefixIndex
from .running import unacked_bytes
from .settings import Settings

REBUILD_MARGIN_S = 0.5
"""Time added to a grant's lease before a restarted key owner rebuilds its claims.

By then every grant that its previous incarnation bound has expired, so a commit that is
still in transit can no longer run.
"""

DECLARATIONS_POLL_INTERVAL_S = 0.05
ORDER_INTERVAL_S = 0.5
PROBE_INTERVAL_S = 1.0
CACHE_POLL_INTERVAL_S = 0.5
DEFAULT_GAP_S = 0.039
"""Objective for the gap between two tokens if no tier is declared."""

MAX_UNACKED_BYTES = 512 << 10
"""Unacknowledged bytes of a run at which reading from the engine stops."""


class AgentNode(Node):
    """One agent daemon.

    Args:
        settings: The validated settings; the role is ``agent``.
    """

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings)
        engine = settings.engine
        if engine is None:
            raise ValueError("an agent needs an engine section")
        self._url = engine.url
        self._endpoint: endpoints.OpenAiEngine | endpoints.PlainService | None = None
        self._reported_suspect = False
        self._declared_drained = True
        self._reported_unreachable = False
        self._last_cache_event = 0
        self._order_planner = LoadOrderPlanner(self.name, self.incarnation)
        self._metrics = Metrics(settings.daemon.name)
        self.pages = PageRouter(self.is_ready, self._metrics_page)
        limits = settings.limits
        policy = AgentPolicy(queue_limit=limits.queue, retention_s=limits.retention_s)
        model = EngineModel(1, 1000.0, DEFAULT_GAP_S, DEFAULT_GAP_S)
        self.world = AgentWorld(
            name=self.name,
            incarnation=self.incarnation,
            model=model,
            prefix=PrefixIndex(1),
            policy=policy,
            started=self.started,
            now=self.started,
            drained=True,
        )

    def tables(self) -> AgentWorld:
        """Return the tables of the core."""
        return self.world

    def start(self) -> None:
        """Start the core and the background tasks of the adapter."""
        super().start()
        _green.spawn(self._rebuild_claims)
        _green.spawn(self._probe_engine)
        _green.spawn(self._read_cache_events)
        _green.spawn(self._send_orders)

    def on_tick(self, inbox: list[tuple[str, object]], now: float) -> float | None:
        """Run one tick of the core; send its messages and carry out its actions."""
        self.world.drained = self._declared_drained or not self.is_revision_confirmed()
        output = tick(self.world, inbox, now)
        for peer, message in output.messages:
            self.links.send(peer, message)
        self.links.flush()
        for action in output.actions:
            _green.spawn(self._run_action, action)
        self._report_suspect(now)
        return next_wake(self.world)

    def on_pause(self, seconds: float) -> None:
        """Discard the grants made before the process was paused; they may have expired."""
        super().on_pause(seconds)
        self.world.grants.clear()

    def on_declarations(self, declarations: Declarations) -> None:
        """Apply the declared settings of this endpoint."""
        declared = declarations.endpoints.get(self.name)
        if declared is None:
            self._declared_drained = True
            return
        if self._endpoint is None:
            self._endpoint = endpoints.create_adapter(
                declared.kind, self._url, self._receive_from_adapter, self._may_read_more
            )
            self._reset_model(declared)
        self.world.model.slots = declared.slots
        self.world.prefix.capacity = declared.cache_blocks
        self._declared_drained = declared.drained
        self._order_planner.apply_declarations(declarations, clock.now())
        gaps = [tier.between_ms / 1000 for tier in declarations.tiers.values()]
        self.world.model.objective_gap = min(gaps, default=DEFAULT_GAP_S)
        self.ticker.put("", declared)

    def _reset_model(self, declared: Endpoint) -> None:
        gap = declared.gap_ms / 1000
        self.world.model = EngineModel(
            declared.slots, declared.prefill_rate, gap, DEFAULT_GAP_S
        )

    def on_peer_up(self, hello: Hello) -> None:
        """Report to the core that the link to an entry is up."""
        message = PeerUp(hello.role, hello.incarnation, hello.age_ms / 1000)
        self.ticker.put(hello.peer, message)

    def on_peer_down(self, name: str, role: str) -> None:
        """Report to the core that the link to an entry was lost."""
        del role
        self.ticker.put(name, PeerDown())

    def on_vms(self) -> None:
        """Stop accepting work when the platform reports that this VM is leaving."""
        row = self.vm_of(self.name)
        if row is not None and row.state == "leaving":
            self.leave()

    def leave(self) -> None:
        """Accept no new work; current runs continue."""
        if self.leaving:
            return
        self.leaving = True
        self.world.leaving = True
        log(Event.LEAVING)
        self.broadcast_heartbeat()

    def drained(self) -> bool:
        """Return whether no run is left and the end of each was sent to all its readers."""
        world = self.world
        if world.grants or any(run.end is None for run in world.runs.values()):
            return False
        return all(
            reader.end_sent
            for run in world.runs.values()
            for reader in run.readers.values()
        )

    def _run_action(self, action: EngineAction) -> None:
        """Carry out one action of the core, in its own greenlet."""
        while (endpoint := self._endpoint) is None:
            # A restarted agent may be asked about a run before it has its declarations.
            _green.sleep(DECLARATIONS_POLL_INTERVAL_S)
        if isinstance(action, StartRun):
            self._dispatch(endpoint, action)
        elif isinstance(action, CancelRun):
            endpoints.cancel(endpoint, action.rid)
        elif isinstance(action, ResumeRun):
            found = endpoints.resume(endpoint, action.rid)
            message = EngineResumed(action.rid, action.entry, found, action.from_chunk)
            self._receive_from_adapter(message)

    def _dispatch(
        self, endpoint: endpoints.OpenAiEngine | endpoints.PlainService, start: StartRun
    ) -> None:
        """Dispatch a run, unless the process was paused for too long after the commit.

        A run not dispatched within `AgentPolicy.max_dispatch_delay_s` is reported as
        not run.
        """
        rid = start.commit.rid
        run = self.world.runs.get(rid)
        if run is None or run.end is not None:
            return
        if clock.now() > run.accepted_at + self.world.policy.max_dispatch_delay_s:
            self._receive_from_adapter(EngineNotRun(rid))
            return
        endpoints.dispatch(endpoint, start)

    def _receive_from_adapter(self, message: object) -> None:
        if isinstance(message, EngineChunk) and message.chunk.number > 0:
            self.ticker.put_later("", message)
        else:
            self.ticker.put("", message)

    def _may_read_more(self, rid: str) -> bool:
        run = self.world.runs.get(rid)
        return run is None or unacked_bytes(run) < MAX_UNACKED_BYTES

    def _rebuild_claims(self) -> None:
        while not self.is_ready() or not self.world.entries:
            _green.sleep(0.1)
        _green.sleep(self.world.policy.grant_lease_s + REBUILD_MARGIN_S)
        claims.begin_rebuild(self.world)
        self.ticker.put("", None)

    def _probe_engine(self) -> None:
        """Check an unreachable engine, and measure a slow one that is idle.

        An idle engine has no runs from which its speed could be measured.
        """
        while True:
            _green.sleep(PROBE_INTERVAL_S)
            model = self.world.model
            if self._endpoint is not None and self.world.unreachable:
                if not self._reported_unreachable:
                    self._reported_unreachable = True
                    log(Event.ENGINE_UNREACHABLE)
                if endpoints.is_reachable(self._endpoint):
                    self._reported_unreachable = False
                    self._receive_from_adapter(EngineReachable())
            elif self._endpoint is not None and not model.runs and model.is_degraded():
                self._receive_from_adapter(endpoints.probe(self._endpoint))

    def _read_cache_events(self) -> None:
        while True:
            _green.sleep(CACHE_POLL_INTERVAL_S)
            if self._endpoint is None:
                continue
            for event in endpoints.fetch_cache_events(
                self._endpoint, self._last_cache_event
            ):
                self._last_cache_event = max(self._last_cache_event, event.number)
                self._receive_from_adapter(event)

    def _send_orders(self) -> None:
        """Order the endpoint to load what is declared, once its load is due."""
        while True:
            _green.sleep(ORDER_INTERVAL_S)
            endpoint = self._endpoint
            if endpoint is None or self._order_planner.due_at is None:
                continue
            state = endpoints.fetch_loaded_state(endpoint)
            # Readiness is checked right before the call: not every endpoint checks fences.
            if state is None or not self.is_ready():
                continue
            order = self._order_planner.next_order(state, clock.now())
            if order is not None:
                accepted = endpoints.send_order(endpoint, order)
                event = Event.ORDER_GIVEN if accepted else Event.ORDER_REFUSED
                log(event, version=order.version, fence=str(order.fence))

    def _metrics_page(self) -> tuple[bytes, str]:
        return self._metrics.render_page(self._samples())

    def _samples(self) -> Iterator[Sample]:
        yield from process_samples(self.started)
        yield from self.link_samples()
        yield from counter_samples("agent", self.world.counters)
        model = self.world.model
        for name, value in (
            ("window", model.window),
            ("prefill_tokens_per_second", model.prefill_rate),
            ("token_gap_seconds", model.gap),
            ("holds", float(len(self.world.queue))),
            ("runs", float(len(model.runs))),
        ):
            text = f"Now: {name.replace('_', ' ')}"
            yield Sample(f"dockreach_agent_{name}", text, value, {}, is_counter=False)

    def _report_suspect(self, now: float) -> None:
        suspect = self.world.model.is_suspect(now)
        if suspect != self._reported_suspect:
            self._reported_suspect = suspect
            log(Event.ENGINE_SUSPECT if suspect else Event.ENGINE_RECOVERED)
