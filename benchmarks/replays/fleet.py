"""Simulation of the decision logic of entries in front of engines, with its own clock."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import ClassVar

from dockreach.direct.coordinator_selection import CoordinatorSelector
from dockreach.direct.datagrams import Message, encode
from dockreach.direct.digest import Address, Digest
from dockreach.direct.dispatching import Dispatcher
from dockreach.direct.endpoint_selection import EndpointSelector, SelectionPolicy
from dockreach.direct.endpoints import EndpointTable, Published
from dockreach.direct.jobs import Decision, Job, Placed, queue_timeout_s
from dockreach.direct.peers import PeerTable
from dockreach.direct.routing_config import Route
from dockreach.direct.slot_client import SlotClient
from dockreach.direct.slot_messages import SampleKind, SlotReply, SlotState
from dockreach.direct.slot_server import SlotServer

from .engine import Engine, Run
from .patterns import KINDS, SERVICE, LoadPattern, RequestKind

SLOTS_PER_ENGINE = 6
MESSAGE_DELAY_S = (0.0004, 0.0012)
ENDPOINT_DELAY_S = 0.0005
IDLE_DIGEST_S = 0.25
ROUND_INTERVAL_S = 0.1
INITIAL_AGE_S = 100.0
"""Age of all entries at the start of a replay, in seconds."""


class SimulatedClock:
    """Simulated clock that makes scheduled calls in the order of their times."""

    def __init__(self) -> None:
        self._pending_calls: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = itertools.count()
        self.now = INITIAL_AGE_S

    def call_at(self, time_s: float, call: Callable[[float], None]) -> None:
        """Schedule a call of a function at a given time."""
        heapq.heappush(self._pending_calls, (time_s, next(self._sequence), call))

    def run_until(self, end: float) -> None:
        """Make all calls that are due up to a given time."""
        while self._pending_calls and self._pending_calls[0][0] <= end:
            self.now, _, call = heapq.heappop(self._pending_calls)
            call(self.now)


@dataclass(slots=True)
class ReplayTotals:
    """Counts of requests by their outcome, and of messages between entries.

    Attributes:
        free_slots_at_refusals: Slots that were free at each refusal, summed up.
    """

    sent: Counter[str] = field(default_factory=Counter)
    in_time: Counter[str] = field(default_factory=Counter)
    late: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    cut: Counter[str] = field(default_factory=Counter)
    free_slots_at_refusals: int = 0
    refusals: int = 0
    messages: int = 0
    bytes: int = 0

    @property
    def value_fraction(self) -> float:
        """Value of the responses as a fraction of the highest; retries add nothing."""
        possible = sum(kind.value * self.sent[kind.name] for kind in KINDS)
        earned = sum(
            kind.value * self.in_time[kind.name] + kind.late_value * self.late[kind.name]
            for kind in KINDS
        )
        return earned / possible if possible else 1.0

    def fraction_in_time(self, kind: RequestKind) -> float:
        """Return the fraction of a kind's requests that were answered in time."""
        return self.in_time[kind.name] / max(self.sent[kind.name], 1)


@dataclass(slots=True)
class Request:
    """One caller's request, over all its attempts."""

    kind: RequestKind
    tokens: int
    events: int
    first_attempt_at: float
    may_retry: bool = True


class SimulatedEntry:
    """The decision logic of one entry, whose messages are delivered by the replay."""

    def __init__(self, replay: Replay, number: int) -> None:
        self.replay = replay
        self.address = Address(f"10.0.0.{number + 1}", 7600)
        self.peers = PeerTable(self.address, ())
        self.endpoints = EndpointTable()
        self.dispatcher = Dispatcher(
            self.endpoints,
            EndpointSelector(self.endpoints, "hall", SelectionPolicy.MEASURED),
            random.Random(f"{replay.seed}/{number}"),
        )
        coordinators = CoordinatorSelector(
            self.peers,
            capacity=1.0,
            started_at=0.0,
            is_independent=not replay.is_coordinated,
        )
        self.slot_client = SlotClient(self.address, number, coordinators, self.endpoints)
        self.slot_server = SlotServer(
            self.address, self.dispatcher, self.endpoints, replay.routes.get
        )
        self._digest_numbers = itertools.count(1)
        self._last_digest = 0.0
        self._has_updates = True
        self._runs: dict[int, tuple[Request, Run]] = {}
        self._waiting: dict[int, Request] = {}

    def submit(self, req: Request, now: float) -> None:
        """Accept a caller's request."""
        route = self.replay.routes[req.kind.name]
        deadline = req.first_attempt_at + req.kind.deadline_s
        job = Job(
            rid="",
            route=route,
            service=SERVICE,
            rank=(0, route.tier),
            prompt_tokens=req.tokens,
            expected_events=float(req.events),
            prefix=(),
            arrived_at=now,
            queue_deadline=now + queue_timeout_s(route, deadline - now),
            deadline=deadline,
            estimated_first_attempt_at=req.first_attempt_at,
        )
        self._waiting[id(job)] = req
        self.replay.clock.call_at(job.queue_deadline, self.run_round)
        if not self.slot_client.request_slot(job, now):
            self.dispatcher.submit(job)
        self.run_round(now)

    def run_round(self, now: float) -> None:
        """Run a scheduling round, and send the messages that are due."""
        for job in self.slot_client.fall_back(now):
            self.dispatcher.submit(job)
        for decision in self.dispatcher.run_round(now):
            if self.slot_server.record_decision(decision):
                continue
            if isinstance(decision, Placed):
                self.slot_client.record_slot(decision.job)
            self._apply_decision(decision, now)
        for decision in self.slot_client.expire(now):
            self._apply_decision(decision, now)
        self._send_due(now)

    def _send_due(self, now: float) -> None:
        for address, state in self.slot_client.due_states(now):
            self.replay.send(state, address, now)
            if state.waiting:
                self.replay.clock.call_at(now + 0.031, self.run_round)
        for address, reply in self.slot_server.pending_replies():
            self.replay.send(reply, address, now)

    def run_periodic_tasks(self, now: float) -> None:
        """Run the tasks that an entry runs ten times per second."""
        for job in self.slot_client.refresh_coordinators(now):
            self.dispatcher.submit(job)
        self.slot_server.expire(now)
        self.endpoints.set_in_flight_elsewhere(
            self.peers.in_flight(now, self._separately_counted)
        )
        self.run_round(now)
        self.replay.clock.call_at(now + ROUND_INTERVAL_S, self.run_periodic_tasks)

    def send_digest(self, now: float) -> None:
        """Send a digest to all other entries, and schedule the next one."""
        in_flight = {
            row.id: row.in_flight_here for row in self.endpoints if row.in_flight_here
        }
        digest = Digest(
            name=self.address.ip,
            address=self.address,
            incarnation=1,
            number=next(self._digest_numbers),
            age_s=now,
            leaving=False,
            revision=1,
            endpoints_revision=1,
            in_flight=in_flight,
            used={},
            fleet_used={},
            known_peers=[],
        )
        for other in self.replay.entries:
            if other is not self:
                self.replay.send(digest, other.address, now)
        self.replay.clock.call_at(
            now + max(self.peers.digest_interval_s, 0.05), self.send_digest
        )

    def receive(self, message: Message, now: float) -> None:
        """Handle a message from another entry."""
        if isinstance(message, SlotState):
            if self.slot_server.handle_state(message, now):
                self.run_round(now)
        elif isinstance(message, SlotReply):
            for decision in self.slot_client.handle_reply(message, now):
                self._apply_decision(decision, now)
            self._send_due(now)
        elif isinstance(message, Digest):
            merged = self.peers.merge(message, now)
            if merged.is_new:
                previous = (
                    self._separately_counted(merged.previous.digest)
                    if merged.previous
                    else {}
                )
                if self.endpoints.replace_peer_in_flight(
                    previous, self._separately_counted(message)
                ):
                    self.run_round(now)

    def _separately_counted(self, digest: Digest) -> dict[str, int]:
        if self.slot_server.is_client(digest.address, SERVICE):
            return {}
        return digest.in_flight

    def _apply_decision(self, decision: Decision, now: float) -> None:
        job = decision.job
        req = self._waiting.pop(id(job))
        if not isinstance(decision, Placed):
            self.replay.handle_refusal(req, decision.refusal.retry_after_s, now)
            return
        engine = self.replay.engines[decision.endpoint.id]
        sent_at = now
        row = decision.endpoint

        def on_first(at: float) -> None:
            if job.found_free_slot:
                prefill_tokens = job.prefill_ahead + job.prefill_tokens
                row.record_measurement(SampleKind.FIRST_EVENT, at - sent_at, prefill_tokens)
            row.record_measurement(SampleKind.GAP, engine.gap_s())
            job.end_prefill()
            self.slot_client.record_prefill_end(job)
            self._send_due(at)
            is_in_time = at - req.first_attempt_at <= req.kind.objective_s
            counts = self.replay.totals.in_time if is_in_time else self.replay.totals.late
            outcomes.append(counts)

        def on_end(at: float, is_complete: bool) -> None:
            self.dispatcher.release_slot(job)
            self.slot_client.drop(job)
            counts = outcomes[0] if is_complete and outcomes else self.replay.totals.cut
            counts[req.kind.name] += 1
            self.replay.clock.call_at(at, self.run_round)

        outcomes: list[Counter[str]] = []
        run = Run(req.tokens, req.events, on_first, on_end)
        self.replay.clock.call_at(now + ENDPOINT_DELAY_S, lambda at: engine.submit(run, at))


class Replay:
    """Replay of one load pattern with a number of entries.

    Args:
        pattern: The load and the changes of the engines.
        entries: Number of entries.
        engines: Number of engines at the start.
        seed: Seed of arrivals, lengths, delays and losses.
        is_coordinated: Whether one entry grants all slots.
        loss_fraction: Fraction of the messages that are lost.

    Attributes:
        kinds: The kinds of requests that callers send.
        entry_type: The class of the entries.
    """

    kinds: ClassVar[tuple[RequestKind, ...]] = KINDS
    entry_type: ClassVar[type[SimulatedEntry]] = SimulatedEntry

    def __init__(
        self,
        pattern: LoadPattern,
        *,
        entries: int,
        engines: int,
        seed: int,
        is_coordinated: bool = True,
        loss_fraction: float = 0.0,
    ) -> None:
        self.pattern = pattern
        self.seed = seed
        self.is_coordinated = is_coordinated
        self.clock = SimulatedClock()
        self.totals = ReplayTotals()
        self.routes: dict[str, Route] = {kind.name: kind.route() for kind in self.kinds}
        self.engines: dict[str, Engine] = {}
        self._loss_fraction = loss_fraction
        self._rng = random.Random(seed)
        self._network_rng = random.Random(seed + 1)
        self.entries = [self.entry_type(self, number) for number in range(entries)]
        self._by_address = {entry.address: entry for entry in self.entries}
        self._initial_engines = engines
        for _ in range(engines):
            self._add_engine()

    def run(self) -> ReplayTotals:
        """Run the replay and return its totals."""
        started_at = self.clock.now
        for number, entry in enumerate(self.entries):
            self.clock.call_at(started_at - 2 + 0.01 * number, entry.send_digest)
            self.clock.call_at(started_at - 1 + 0.001 * number, entry.run_periodic_tasks)
        for kind in self.kinds:
            for arrives_s, count in self.pattern.arrivals(
                kind, self._initial_engines, self._rng
            ):
                for _ in range(count):
                    self.clock.call_at(started_at + arrives_s, self._new_arrival(kind))
        for change in self.pattern.changes:
            self.clock.call_at(
                started_at + change.at_s, partial(self._apply_change, change.fraction)
            )
        self.clock.run_until(started_at + self.pattern.length_s + 15.0)
        return self.totals

    def _new_arrival(self, kind: RequestKind) -> Callable[[float], None]:
        tokens = int(min(self._rng.expovariate(1 / kind.prompt_tokens), 18_000)) + 60
        events = int(min(self._rng.expovariate(1 / kind.events), 10 * kind.events)) + 1
        entry = self._rng.choice(self.entries)

        def arrive(now: float) -> None:
            self.totals.sent[kind.name] += 1
            entry.submit(Request(kind, tokens, events, now), now)

        return arrive

    def handle_refusal(self, req: Request, retry_after_s: float | None, now: float) -> None:
        """Let a caller retry once at a random entry, or count the request as refused."""
        self.totals.refusals += 1
        self.totals.free_slots_at_refusals += sum(
            max(engine.slots - len(engine.running) - len(engine.queue), 0)
            for engine in self.engines.values()
            if not engine.is_stopped
        )
        left_s = req.first_attempt_at + req.kind.deadline_s - now
        if not req.may_retry or retry_after_s is None or retry_after_s > left_s / 3:
            self.totals.refused[req.kind.name] += 1
            return
        req.may_retry = False
        entry = self._rng.choice(self.entries)
        self.clock.call_at(now + retry_after_s, lambda at: entry.submit(req, at))

    def send(self, message: Message, address: Address, now: float) -> None:
        """Deliver a message after a random delay, or drop it."""
        self.totals.messages += 1
        self.totals.bytes += len(encode(message))
        if self._network_rng.random() < self._loss_fraction:
            return
        entry = self._by_address[address]
        delay_s = self._network_rng.uniform(*MESSAGE_DELAY_S)
        self.clock.call_at(now + delay_s, lambda at: entry.receive(message, at))

    def _add_engine(self) -> None:
        number = len(self.engines)
        time_factor = self.pattern.time_factors[number % len(self.pattern.time_factors)]
        engine = Engine(f"e-{number}", SLOTS_PER_ENGINE, time_factor, self.clock.call_at)
        self.engines[engine.id] = engine
        for entry in self.entries:
            entry.endpoints.publish(
                Published(
                    engine.id,
                    SERVICE,
                    f"10.1.0.{number}:80",
                    "hall",
                    SLOTS_PER_ENGINE,
                    False,
                )
            )

    def _apply_change(self, fraction: float, now: float) -> None:
        count = round(abs(fraction) * self._initial_engines)
        if fraction > 0:
            for _ in range(count):
                self._add_engine()
            return
        for engine in list(self.engines.values())[:count]:
            engine.stop(now)
            for entry in self.entries:
                entry.endpoints.remove(engine.id)
