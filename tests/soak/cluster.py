"""A complete system on one machine: store, endpoints, entries, callers and proxies."""

from __future__ import annotations

import contextlib
import json
import random
import re
import time
from collections import Counter
from pathlib import Path
from typing import Any, ClassVar

import eventlet

from tests.platform.store_standin import StoreStandIn, endpoint_record

from .clients import ROUTE_KINDS, Callers
from .entries import FRONT_PORT, EntryProcess
from .invariants import COLD_RATE, CONFIG_APPLY_S, STORE, Observations, Span, violations
from .proxy import LinkFault, Proxy
from .theme import Theme
from .workers import SLOTS, EndpointLog, Worker

DEFAULT_ENTRIES = 3
CALLERS = 12
MAX_CALLERS = 48
LONG_STREAM_CALLERS = 24
OVERLOAD_CALLERS = 30
"""Callers where requests exceed the slots during surges, and fit them otherwise."""

OVERLOAD_SLOTS = 2
"""Slots that each endpoint publishes there."""

COMPETING_KEYS = ("key-first", "key-second", "key-free")
"""Keys of organisations that compete for slots; the last one has no quota."""

COMPETING_RATES = {"first": 40_000.0, "second": 10_000.0}
"""Tokens a second of those with quotas, which they do not reach."""

SERVICES = ("work-a", "work-b")
HEALTH_PATH = "/health"
WORKERS_PER_SERVICE = 3

RESUMABLE_SERVICE = SERVICES[1]
"""The service whose streams may be resumed."""

RESUMABLE_KINDS = ("brief",) * 6
"""Kinds of requests besides all others while several software versions serve."""

LONG_TIMEOUT_S = 7.0
"""Timeout of the routes with long streams, in seconds."""

SOFTWARE_VERSIONS = ("v1", "v1.2", "v2")

QUOTA_WINDOW_S = 4.0
QUOTA_TOKENS_PER_S = 400.0
QUOTA_BURST_TOKENS = 400.0
QUOTA_OVER = 0.25
"""The limited organisation sends more than its quota, which admits about 20 requests of 20
tokens a second. As on the platform, one request is a small part of a window."""

CONFIG_INTERVAL_S = (0.3, 1.2)
"""Shortest and longest time between configurations, in seconds."""

STALL_POLL_S = 0.05
"""Interval at which this process checks itself for stalls, in seconds."""

MAX_STALL_S = 0.25
"""How long this process may stall before the stall counts as a fault, in seconds: half of
the shortest time limit of an invariant."""

MAX_ADDED_ROUTES = 40
"""Maximum number of added routes in a configuration; each version adds one. More versions
than that are not written within the time in which one must be applied."""

CRASH_EXPIRY_S = 1.0
"""How long the record of a crashed endpoint stays in the store, in seconds."""

DRAINING_S = 2.5
"""How long a draining endpoint continues to serve, in seconds."""

RETURN_S = (0.2, 1.8)
"""Shortest and longest time until an endpoint writes an expired record anew, in seconds."""

HALLS = ("hall1", "hall2")

FIRST_START_MS = 1_700_000_000_000
"""Start time of the first incarnations, in milliseconds."""

RESTART_DELAY_S = 0.5
"""How long a restarting endpoint is down, in seconds."""

COLD_S = 2.0
"""How long an endpoint is cold after a start, in seconds."""


SILENT_FRACTION = 0.25
"""Fraction of the responses in which endpoints fall silent, where they do."""

FEW_WORKERS = (1, 1, 2, WORKERS_PER_SERVICE)
FEW_SLOTS = (2, SLOTS)
"""Endpoints of a service and their slots there; one of each is drawn for a soak."""

RETRY_BURSTS = (0.0, 10.0)
"""Retries that settings allow there, besides no fraction of the requests with the first."""

IDLE_TIMEOUTS_MS = (60, 1000, 15000)
TIMEOUTS_MS = (3000, 4000)
LATENCIES_MS = (200, 500)
GAPS_MS = (100, 300)
"""Limits and objectives among which configurations change there, in milliseconds."""

FIRST_BODY_BYTES = 256
BODY_STEP_BYTES = 16
"""The largest body grows by this with each configuration there."""


_RID = re.compile(r"\b[a-z]+-\d+\b")
"""What may be the id of a request in the line of a violation."""


class Cluster:
    """All parts of the system under test, and what was observed of them.

    Args:
        seed: Seed of all random choices.
        net: Second byte of the entries' loopback addresses; differs between parallel soaks.
        folder: Directory for settings and logs.
        entries: Number of entries.
        theme: The special behaviour that the soak tests.
    """

    entry_type: ClassVar[type[EntryProcess]] = EntryProcess
    store_path_type: ClassVar[type[Proxy]] = Proxy
    config_interval_s: ClassVar[tuple[float, float]] = CONFIG_INTERVAL_S
    max_added_routes: ClassVar[int] = MAX_ADDED_ROUTES

    def __init__(
        self,
        seed: int,
        net: int,
        folder: Path,
        entries: int,
        theme: Theme = Theme.ORDINARY,
    ) -> None:
        self.theme = theme
        self.rng = random.Random(seed)
        self.store = StoreStandIn()
        self.store.page_items = 50
        self._endpoint_log = EndpointLog()
        self._version = 0
        self._workers_started = 0
        self._records_written = 0
        self._evacuated: set[str] = set()
        self.workers: dict[str, Worker] = {}
        token_limit = (QUOTA_TOKENS_PER_S * QUOTA_WINDOW_S + QUOTA_BURST_TOKENS) * (
            1 + QUOTA_OVER
        )
        self.observations = Observations(
            [], self._endpoint_log, token_limit, QUOTA_WINDOW_S
        )
        self.store_proxies = [
            self.store_path_type(self.store.address) for _ in range(entries)
        ]
        self.entries = [
            self.entry_type(number, net, proxy.address, folder)
            for number, proxy in enumerate(self.store_proxies)
        ]
        self.caller_proxies = [Proxy(f"{entry.ip}:{FRONT_PORT}") for entry in self.entries]
        self.callers: Callers = Callers(
            self._addresses,
            self._newest_applied_version,
            {entry.name: self.caller_proxies[i] for i, entry in enumerate(self.entries)},
            random.Random(seed + 1),
        )
        self.callers.has_distinct_bodies = theme.has_distinct_bodies
        self.callers.comes_back = theme.has_overload
        self.callers.takes_up = theme.has_software_versions
        if theme.has_software_versions:
            self.callers.kinds = (*ROUTE_KINDS, *RESUMABLE_KINDS)
        self.software_version = SOFTWARE_VERSIONS[0] if theme.has_software_versions else ""
        self.observations.outcomes = self.callers.outcomes
        self.observations.rids = self.callers.rids
        self.workers_per_service = WORKERS_PER_SERVICE
        self.slots = OVERLOAD_SLOTS if theme.has_overload else SLOTS
        self.silent_fraction = 0.0
        self.caller_count = LONG_STREAM_CALLERS
        self._seed = seed
        if theme.has_silences:
            self.silent_fraction = SILENT_FRACTION
            self.workers_per_service = self.rng.choice(FEW_WORKERS)
            self.slots = self.rng.choice(FEW_SLOTS)
            self.callers.pipelines = True
            self.callers.body_bytes = _largest_body
            for entry in self.entries:
                self.draw_retry_budget(entry)

    def start(self) -> None:
        """Start everything except the callers."""
        self.publish_configuration()
        for service in SERVICES:
            for _ in range(self.workers_per_service):
                self.add_worker(service)
        if self.theme.has_software_versions:
            for _ in range(WORKERS_PER_SERVICE):
                self.add_worker(RESUMABLE_SERVICE)
        for entry in self.entries:
            entry.start()
        eventlet.spawn(self._restart_exited_entries)

    def start_callers(self) -> None:
        """Start the callers."""
        eventlet.spawn(self._publish_configurations)
        eventlet.spawn(self._record_stalls)
        # The number of endpoints does not grow: with more callers, each sends less often.
        callers = min(max(CALLERS, len(self.entries)), MAX_CALLERS)
        self.callers.max_pause_s *= callers / CALLERS
        keys = ("key-limited", "key-free", "key-free")
        if self.theme.has_long_streams:
            callers = self.caller_count
        if self.theme.has_overload:
            callers, keys = OVERLOAD_CALLERS, COMPETING_KEYS
        for number in range(callers):
            eventlet.spawn(self.callers.run_caller, keys[number % len(keys)])

    def stop(self) -> None:
        """Stop everything that was started."""
        self.callers.is_stopped = True
        for entry in self.entries:
            entry.stop()
        # The entries of the next soak may have the same addresses.
        for proxy in self.caller_proxies + self.store_proxies:
            proxy.close()
        for entry in self.entries:
            self.observations.unexpected_exits += [
                f"{entry.name}: {code}" for code in entry.unexpected_exits
            ]
            self.observations.internal_errors += [
                f"{entry.name}: {line}" for line in entry.internal_errors()
            ]

    def notes(self) -> list[str]:
        """Return lines on what was seen beside violations."""
        return []

    def violations(self) -> list[str]:
        """Return a line for each violated invariant."""
        return violations(self.observations)

    def logs(self, found: list[str]) -> list[str]:
        """Return the lines of each entry's log on the named requests, and its last ones."""
        rids = {rid for line in found for rid in _RID.findall(line)}
        return [
            f"{entry.name}:\n{entry.log_of(rids)}\n{entry.log_tail()}"
            for entry in self.entries
        ]

    def _addresses(self) -> list[tuple[str, str]]:
        pairs = zip(self.entries, self.caller_proxies, strict=True)
        return [(entry.name, proxy.address) for entry, proxy in pairs]

    def _newest_applied_version(self) -> int:
        """Return the newest version that every entry must have applied."""
        latest = time.monotonic() - CONFIG_APPLY_S
        return max(sum(when <= latest for when, _ in self.observations.route_changes), 1)

    def _restart_exited_entries(self) -> None:
        """Restart entries that exited, as the platform does."""
        while not self.callers.is_stopped:
            eventlet.sleep(0.2)
            for entry in self.entries:
                entry.restart_if_exited()

    # Actions of the operator and of endpoints.

    def publish_configuration(self) -> None:
        """Publish the next configuration; it moves route ``once`` to the other service."""
        self._version += 1
        service = SERVICES[self._version % len(SERVICES)]
        content: dict[str, Any] = _configuration(
            self._version,
            service,
            self.max_added_routes,
            has_restarts=self.theme.has_restarts,
        )
        if self.theme.has_overload:
            content["tenants"] = [
                {"name": "free", "api_keys": ["key-free"]},
                *_competing_organisations(),
            ]
        if self.theme.has_long_streams:
            content["routes"] += self._more_routes()
        if self.theme.has_silences:
            _draw_limits(content, random.Random(f"{self._seed} {self._version}"))
            if not self.silent_fraction:
                content["limits"]["idle_timeout_ms"] = max(IDLE_TIMEOUTS_MS)
        self._extend(content)
        text = json.dumps(content).encode()
        self.store.put("op/config", text)
        self.observations.route_changes.append((time.monotonic(), service))

    def _more_routes(self) -> list[dict[str, Any]]:
        """Return the routes of long streams."""
        return _long_stream_routes()

    def _extend(self, content: dict[str, Any]) -> None:
        """Add to a configuration what only one kind of cluster needs."""

    def draw_retry_budget(self, entry: EntryProcess) -> None:
        """Draw whether an entry may retry, from its next settings on."""
        burst = self.rng.choice(RETRY_BURSTS)
        ratio = {} if burst else {"retry_budget_ratio": 0.0}
        entry.more_bounds = {"retry_burst": burst, **ratio}

    def _publish_configurations(self) -> None:
        """Publish configurations regularly, so that one follows soon after each fault."""
        while not self.callers.is_stopped:
            eventlet.sleep(self.rng.uniform(*self.config_interval_s))
            self.publish_configuration()

    def _record_stalls(self) -> None:
        """Record stalls of this process as faults: all traffic passes through it."""
        while not self.callers.is_stopped:
            before = time.monotonic()
            eventlet.sleep(STALL_POLL_S)
            stall_s = time.monotonic() - before - STALL_POLL_S
            if stall_s > MAX_STALL_S:
                self.observations.disruptions.append(
                    Span("", before, before + STALL_POLL_S + stall_s)
                )
                self.observations.stalled_s += stall_s

    def add_worker(self, service: str) -> None:
        """Start an endpoint and publish it."""
        self._workers_started += 1
        name = f"i-{self._workers_started}"
        number = self._workers_started if self.theme.has_halls else 0
        self._start_worker(
            Worker(
                name,
                service,
                self._endpoint_log,
                self.rng,
                hall=HALLS[number % len(HALLS)],
                born=FIRST_START_MS if self._publishes_starts else 0,
                software_version=self.software_version,
            )
        )

    @property
    def _publishes_starts(self) -> bool:
        return self.theme.has_restarts or self.theme.has_software_versions

    def _start_worker(self, worker: Worker, *, cold_s: float = 0.0) -> None:
        if self.theme.has_crashing_requests:
            worker.on_crashing_request = self._crash_once
        if self.theme.has_overload:
            worker.reported_load = lambda running: f"{running},0,2,100".encode()
        worker.silent_fraction = self.silent_fraction
        worker.silence_seed = self._seed
        self.workers[worker.name] = worker
        self.observations.halls[worker.name] = worker.hall
        if cold_s:
            now = time.monotonic()
            self.observations.cold_spans.append(Span(worker.name, now, now + cold_s))
        self._publish(worker, "ready", cold_s=cold_s)
        self._record_versions()

    def resumable_workers(self) -> list[str]:
        """Return the names of the endpoints that serve resumable streams."""
        return sorted(
            name
            for name, worker in self.workers.items()
            if worker.service == RESUMABLE_SERVICE
        )

    def _record_versions(self) -> None:
        """Record how many endpoints of each software version serve resumable streams."""
        names = [
            worker.software_version
            for worker in self.workers.values()
            if worker.service == RESUMABLE_SERVICE
        ]
        self.observations.version_changes.append((time.monotonic(), Counter(names)))

    def _publish(self, worker: Worker, state: str, *, cold_s: float = 0.0) -> None:
        self._records_written += 1
        record = endpoint_record(
            service=worker.service,
            address=worker.proxy.address,
            zone=worker.hall,
            slots=self.slots,
            state=state,
            born=worker.born,
            sequence=self._records_written,
            cold_remaining_ms=cold_s * 1000,
            version=worker.software_version or "v1",
        )
        self.store.put(f"servers/{worker.name}", record)

    def replace_worker(self, name: str) -> None:
        """Start another endpoint, then let this one drain and leave."""
        worker = self.workers.pop(name)
        self._record_versions()
        self.add_worker(worker.service)
        self._publish(worker, "draining")
        self.observations.draining_since[name] = time.monotonic()
        eventlet.sleep(DRAINING_S)
        self._delete_record(name)

    def withdraw_worker(self, name: str) -> None:
        """Let an endpoint leave without saying so.

        It goes on serving, so that late requests are seen and none is lost.
        """
        del self.workers[name]
        self._record_versions()
        self._delete_record(name)
        self.observations.gone_since[name] = time.monotonic()

    def expire_records(self, for_s: float) -> None:
        """Let the store be away and some records expire; running endpoints write again."""
        self.record_store_fault(for_s)
        self.store.failure_mode = self.rng.choice((503, "silent", "reset"))
        self.store.end_watches()
        eventlet.sleep(for_s)
        expired = [name for name in sorted(self.workers) if self.rng.random() < 0.5]
        for name in expired:
            self._delete_record(name)
        self.store.failure_mode = ""
        for name in expired:
            eventlet.spawn_after(self.rng.uniform(*RETURN_S), self._publish_again, name)

    def _delete_record(self, name: str) -> None:
        """Delete a record that may have expired already."""
        with contextlib.suppress(KeyError):
            self.store.delete(f"servers/{name}")

    def _publish_again(self, name: str) -> None:
        if name in self.workers:
            self._publish(self.workers[name], "ready")

    def _crash_once(self, name: str) -> None:
        """Crash an endpoint because of a request, unless it already crashed or drains."""
        if name in self.workers:
            self.crash_worker(name)

    def crash_worker(self, name: str) -> None:
        """Crash an endpoint; its record stays for a while, then another replaces it."""
        worker = self.workers.pop(name)
        self._record_versions()
        self.record_disruption("", 1.0, is_engine_fault=True)
        worker.crash()
        eventlet.sleep(CRASH_EXPIRY_S)
        self._delete_record(name)
        self.add_worker(worker.service)

    def restart_worker(self, name: str, *, is_silent: bool) -> None:
        """Stop an endpoint abruptly and restart it, cold, under the same id.

        Args:
            name: The endpoint's id.
            is_silent: Whether its connections fall silent instead of being reset.
        """
        old = self.workers.pop(name)
        self._record_versions()
        self.record_disruption("", 1.0)
        if is_silent:
            old.go_silent()
        else:
            old.crash()
        eventlet.sleep(RESTART_DELAY_S)
        new = Worker(
            name,
            old.service,
            self._endpoint_log,
            self.rng,
            hall=old.hall,
            born=old.born + 1000,
            software_version=self.software_version,
        )
        if not self.theme.has_restarts:
            self._start_worker(new)
            return
        self._start_worker(new, cold_s=COLD_S)
        eventlet.sleep(COLD_S)
        if self.workers.get(name) is new:
            self._publish(new, "ready")

    def evacuate_hall(self, hall: str, for_s: float) -> None:
        """Evacuate a data hall for a while, unless it is already evacuated."""
        if hall in self._evacuated:
            return
        self._evacuated.add(hall)
        start = time.monotonic()
        self.store.put(f"op/evacuate/{hall}", b"{}")
        eventlet.sleep(for_s)
        self.observations.evacuations.append(Span(hall, start, time.monotonic()))
        self.store.delete(f"op/evacuate/{hall}")
        self._evacuated.remove(hall)

    def corrupt_record(self, name: str, value: bytes, for_s: float) -> None:
        """Overwrite an endpoint's record with a wrong value for a while."""
        worker = self.workers[name]
        self.store.put(f"servers/{name}", value)
        eventlet.sleep(for_s)
        if self.workers.get(name) is worker:
            self._publish(worker, "ready")

    # Records for the checks of invariants.

    def record_disruption(
        self, entry: str, for_s: float, *, is_engine_fault: bool = False
    ) -> None:
        """Record that an entry may cut responses; an empty name stands for all entries."""
        now = time.monotonic()
        self.observations.disruptions.append(Span(entry, now, now + for_s, is_engine_fault))

    def record_store_fault(self, for_s: float, entry: str = "") -> None:
        """Record a fault of the store, or of the connections of one entry to it."""
        now = time.monotonic()
        span = Span(entry or STORE, now, now + for_s)
        self.observations.store_faults.append(span)

    def record_planned_stop(self, entry: str, for_s: float) -> None:
        """Record that an entry was asked to stop."""
        now = time.monotonic()
        self.observations.planned_stops.append(Span(entry, now, now + for_s))

    def clear_faults(self) -> None:
        """End every fault of connections, endpoints and the store."""
        for proxy in self.store_proxies + self.caller_proxies:
            proxy.set_fault(LinkFault.NONE)
        for worker in self.workers.values():
            worker.proxy.set_fault(LinkFault.NONE)
            worker.failure_fraction = 0.0
            worker.slowdown = 1.0
            worker.silent_fraction = 0.0
        self.store.failure_mode = ""
        if self.theme.has_silences:
            self.silent_fraction = 0.0
            for service in SERVICES * WORKERS_PER_SERVICE:
                self.add_worker(service)


def _configuration(
    version: int, service: str, max_added: int, *, has_restarts: bool
) -> dict[str, object]:
    routes = [
        _route("once", "unsafe", service),
        _route("safe", "safe", SERVICES[0], max_attempts=2),
        _route("draft", "streaming", SERVICES[0]),
        _route("brief", "streaming", SERVICES[1], max_attempts=2, resumable=True),
    ]
    added = range(max(version - max_added, 0) + 1, version + 1)
    routes += [_route(f"new-{number}", "safe", SERVICES[0]) for number in added]
    tenants = [
        {"name": "free", "api_keys": ["key-free"]},
        {
            "name": "limited",
            "api_keys": ["key-limited"],
            "rate_per_s": QUOTA_TOKENS_PER_S,
            "burst": QUOTA_BURST_TOKENS,
        },
    ]
    cold = {"cold_start_s": COLD_S, "cold_per_s": COLD_RATE} if has_restarts else {}
    common = {"health_path": HEALTH_PATH, "max_connections": 200, **cold}
    services = [{"name": name, **common} for name in SERVICES]
    return {"version": version, "routes": routes, "services": services, "tenants": tenants}


def _long_stream_routes() -> list[dict[str, Any]]:
    more: dict[str, object] = {"timeout_ms": LONG_TIMEOUT_S * 1000}
    return [
        _route("report", "streaming", SERVICES[0], **more),
        _route("grade", "streaming", RESUMABLE_SERVICE),
        _route(
            "story", "streaming", RESUMABLE_SERVICE, max_attempts=2, resumable=True, **more
        ),
    ]


def _largest_body(version: int) -> int:
    """Return the largest body that a configuration allows, in bytes."""
    return FIRST_BODY_BYTES + BODY_STEP_BYTES * version


def _draw_limits(content: dict[str, Any], rng: random.Random) -> None:
    """Draw the limits and the objectives of a configuration."""
    content["limits"] = {
        "idle_timeout_ms": rng.choice(IDLE_TIMEOUTS_MS),
        "max_body_bytes": _largest_body(content["version"]),
    }
    objectives = {
        "timeout_ms": rng.choice(TIMEOUTS_MS),
        "target_latency_ms": rng.choice(LATENCIES_MS),
        "gap_aim_ms": rng.choice(GAPS_MS),
    }
    for route in content["routes"]:
        route.update(objectives)


def _competing_organisations() -> list[dict[str, object]]:
    return [
        {"name": name, "api_keys": [f"key-{name}"], "rate_per_s": rate, "burst": rate}
        for name, rate in COMPETING_RATES.items()
    ]


def _route(name: str, kind: str, service: str, **more: object) -> dict[str, object]:
    return {
        "name": name,
        "host": "tools.example",
        "path_prefix": f"/{name}/",
        "type": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 500,
        "gap_aim_ms": 300,
        "service": service,
        **more,
    }
