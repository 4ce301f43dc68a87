"""The entry daemon: connects the core in `entry` to callers, agents and other entries."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterator

import msgspec

from . import _green, clock
from .caller_api import CallerApp
from .declarations import Declarations, Fleet
from .direct.feeds import Feed
from .entry import next_wake, tick
from .entry_tables import (
    Admit,
    AgentDown,
    AgentGone,
    AgentLeaving,
    AgentUp,
    AttachRun,
    Configured,
    EntryDown,
    EntryPolicy,
    EntryUp,
    EntryWorld,
)
from .errors import PlatformError
from .events import Event, log
from .limits import LimitTable
from .messages import Heartbeat, Hello, QueryRows, VmRows
from .metrics import Metrics, Sample, counter_samples, process_samples
from .node import Node
from .operator_api import OperatorApi
from .pages import PageRouter
from .platform import PlatformClient
from .rendezvous import ranked
from .response_delivery import Waiter
from .settings import Settings
from .verdict import Reason, Refusal, Verdict

CONFIG_APPLY_DEADLINE_S = 18.0
"""Time within which every daemon applies an accepted configuration."""

PLATFORM_RETRY_DELAY_S = 1.0
"""Delay before the next call to the platform after a failed call or a refused
configuration, and before an entry that does not poll the platform checks its role again."""

_EMPTY_DECLARATIONS = Declarations(Fleet(revision=1), {}, {}, {}, {}, {}, {})


class EntryNode(Node):
    """One entry daemon.

    Args:
        settings: The validated settings; the role is ``entry``.
    """

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings)
        limits = settings.limits
        policy = EntryPolicy(
            grace_s=limits.grace_s,
            unclear_s=limits.unclear_s,
            waiting_bytes=limits.waiting_bytes,
        )
        self.world = EntryWorld(
            name=self.name,
            incarnation=self.incarnation,
            declarations=_EMPTY_DECLARATIONS,
            limits=LimitTable(self.name, started=self.started),
            policy=policy,
            rng=random.Random(self.incarnation),
            started=self.started,
            now=self.started,
        )
        self.platform = PlatformClient(settings.platform.url)
        self.metrics = Metrics(self.name)
        self.pages = PageRouter(self.is_ready, self._metrics_page)
        self.operators = OperatorApi(self, settings.operators.key_sha256)
        self.app = CallerApp(self)
        self.waiters: dict[int, Waiter] = {}
        self._caller_numbers = itertools.count(1)
        self._is_platform_available = True
        self._config_feed = Feed()

    def tables(self) -> EntryWorld:
        """Return the core's tables."""
        return self.world

    def on_query_rows(self, name: str, message: QueryRows) -> None:
        """Pass a peer's rows to the operator's query that requested them."""
        self.operators.handle_rows(message, name)

    def start(self) -> None:
        """Start the core, dial the seed peers, and start polling the platform."""
        super().start()
        for address in self.settings.peers.addresses:
            if address != self.settings.listen.link:
                self.links.dial(address)
        _green.spawn(self._poll_vms)
        _green.spawn(self._watch_config)

    def on_tick(self, inbox: list[tuple[str, object]], now: float) -> float | None:
        """Run the core's tick, send its messages and wake the callers it names."""
        output = tick(self.world, inbox, now)
        for peer, message in output.messages:
            self.links.send(peer, message)
        self.links.flush()
        for number, row in output.callers_to_wake.items():
            waiter = self.waiters.get(number)
            if waiter is not None:
                waiter.wake(row)
        return next_wake(self.world)

    def on_declarations(self, declarations: Declarations) -> None:
        """Pass new declarations to the core.

        Larger shares of limits wait until all entries have the declarations, except for the
        first declarations after a start.
        """
        first = self.world.declarations is _EMPTY_DECLARATIONS
        settle = 0.0 if first else CONFIG_APPLY_DEADLINE_S
        self.ticker.put("", Configured(declarations, settle))

    def on_peer_up(self, hello: Hello) -> None:
        """Send the peer its part of the VM list, and report its link to the core."""
        if self.vms.version:
            self.links.send(hello.peer, self.vm_rows_for(hello.peer))
            self.links.flush()
        age = hello.age_ms / 1000
        if hello.role == "agent":
            message: object = AgentUp(hello.hall, hello.incarnation, age)
        else:
            message = EntryUp(hello.incarnation, age)
        self.ticker.put(hello.peer, message)

    def on_peer_down(self, name: str, role: str) -> None:
        """Report a lost link to the core, by the peer's role."""
        self.ticker.put(name, AgentDown() if role == "agent" else EntryDown())

    def on_heartbeat(self, name: str, beat: Heartbeat) -> None:
        """Report to the core when an agent starts or stops accepting new work."""
        if self.roles.get(name) == "agent":
            row = self.vm_of(name)
            vm_leaving = row is not None and row.state == "leaving"
            leaving = beat.leaving or vm_leaving or not beat.ready
            known = self.world.agents.get(name)
            if known is None or known.leaving != leaving:
                self.ticker.put(name, AgentLeaving(leaving))

    def on_vms(self) -> None:
        """Update links and agents to the new VM list, and pass the list on to peers."""
        listed = {row.vm for row in self.vms.rows}
        for row in self.vms.rows:
            if self._should_dial(row.vm, row.role):
                self.links.dial(row.address)
            if row.role == "agent" and row.state == "leaving":
                self.ticker.put(row.vm, AgentLeaving(True))
        addresses = {row.address for row in self.vms.rows}
        addresses.update(self.settings.peers.addresses)
        for address in set(self.links.dialled) - addresses:
            self.links.undial(address)
        for name in set(self.world.agents) - listed:
            log(Event.VM_GONE, peer=name)
            self.ticker.put(name, AgentGone())
        if self.is_watcher():
            for peer in self.links.peers:
                self.links.send(peer, self.vm_rows_for(peer))
            self.links.flush()

    def vm_rows_for(self, peer: str) -> VmRows:
        """Return the part of the VM list that a peer needs.

        An agent needs only its own row and the entries of this data hall. If every daemon
        got the whole list, the traffic would grow with the square of the fleet's size.
        """
        if self.roles.get(peer) != "agent":
            return self.vms
        hall = self.settings.daemon.hall
        rows = tuple(
            row
            for row in self.vms.rows
            if row.vm == peer or (row.role == "entry" and row.hall == hall)
        )
        return VmRows(version=self.vms.version, rows=rows)

    def _should_dial(self, name: str, role: str) -> bool:
        return role == "agent" or (role == "entry" and name > self.name)

    def check_limits(self, message: Admit | AttachRun) -> Refusal | None:
        """Count a request against its organisation's limits.

        Returns:
            A refusal if this entry's share of the limits is used up, else ``None``.
        """
        limits = self.world.limits
        if message.organisation not in limits.shares:
            return Refusal(Verdict.NOT_RUN, Reason.NOT_READY, "", 1.0)
        tokens = 0
        if isinstance(message, Admit):
            tokens = message.prompt_tokens + message.output_tokens
        retry = limits.admit(message.organisation, tokens, clock.now())
        if retry is None:
            return None
        detail = f"organisation {message.organisation} has reached its limits"
        return Refusal(Verdict.NOT_RUN, Reason.LIMIT, detail, retry)

    def submit(self, message: Admit | AttachRun) -> Waiter | Refusal:
        """Pass a request to the core; return the object on which its caller waits."""
        number = next(self._caller_numbers)
        waiter = Waiter(number, message.rid)
        self.waiters[number] = waiter
        self.ticker.put("", _with_caller(message, number))
        return waiter

    def remove_waiter(self, waiter: Waiter) -> None:
        """Remove the waiter of a caller that no longer waits."""
        self.waiters.pop(waiter.caller, None)

    def leave(self) -> None:
        """Stop accepting requests; those in progress continue."""
        self.leaving = True
        log(Event.LEAVING)

    def drained(self) -> bool:
        """Return whether no caller is waiting."""
        return not self.waiters

    def is_watcher(self) -> bool:
        """Return whether this entry polls the platform for its data hall.

        The linked entries of a hall are ordered by rendezvous hashing; only the first
        ``watchers`` of them poll, because each call to the platform costs.
        """
        hall = self.settings.daemon.hall
        live = [
            row.vm
            for row in self.vms.rows
            if row.role == "entry" and row.hall == hall and row.state == "live"
        ]
        linked = [name for name in live if name in self.links.peers]
        order = ranked(hall, {*linked, self.name})
        return self.name in order[: self.settings.platform.watchers]

    def _poll_vms(self) -> None:
        while True:
            if self.is_watcher():
                try:
                    self.apply_vm_rows(self.platform.vm_list())
                except PlatformError as exc:
                    self._record_platform_failure(str(exc))
                else:
                    self._record_platform_response()
            _green.sleep(self.settings.platform.vm_poll_s)

    def _watch_config(self) -> None:
        while True:
            if not self.is_watcher():
                _green.sleep(PLATFORM_RETRY_DELAY_S)
                continue
            limits = self._config_feed.next_call_limits(
                CONFIG_APPLY_DEADLINE_S, max_wait_s=self.settings.platform.watch_s
            )
            try:
                body = self.platform.watch_config(self.config.revision, limits)
            except PlatformError as exc:
                self._config_feed.record_failure()
                self._record_platform_failure(str(exc))
                _green.sleep(PLATFORM_RETRY_DELAY_S)
                continue
            self._config_feed.mark_caught_up()
            if body is not None and self.handle_config(body, "platform"):
                _green.sleep(PLATFORM_RETRY_DELAY_S)

    def _record_platform_failure(self, problem: str) -> None:
        if self._is_platform_available:
            self._is_platform_available = False
            log(Event.PLATFORM_DOWN, problem)

    def _record_platform_response(self) -> None:
        if not self._is_platform_available:
            self._is_platform_available = True
            log(Event.PLATFORM_BACK)

    def _metrics_page(self) -> tuple[bytes, str]:
        return self.metrics.render_page(self._samples())

    def _samples(self) -> Iterator[Sample]:
        yield from process_samples(self.started)
        yield from self.link_samples()
        yield from self._platform_samples()
        counters = self.world.counters
        yield from counter_samples("entry", counters)
        for (tier, reason, verdict), count in counters.refusals.items():
            labels = {"tier": str(tier), "reason": reason.value, "verdict": verdict.value}
            text = "Requests refused or broken off"
            yield Sample("dockreach_refusals_total", text, count, labels)

    def _platform_samples(self) -> Iterator[Sample]:
        calls, failures = self.platform.calls, self.platform.failures
        yield Sample("dockreach_platform_calls_total", "Calls to the platform", calls, {})
        text = "Calls to the platform that failed"
        yield Sample("dockreach_platform_failures_total", text, failures, {})
        for name in ("conflicts", "stale", "invalid"):
            text = f"Configurations refused: {name}"
            value = getattr(self.config, name)
            yield Sample(f"dockreach_config_{name}_total", text, value, {})
        text = "Revision in force"
        revision = self.config.revision
        yield Sample("dockreach_config_revision", text, revision, {}, is_counter=False)


def _with_caller(message: Admit | AttachRun, number: int) -> Admit | AttachRun:
    return msgspec.structs.replace(message, caller=number)
