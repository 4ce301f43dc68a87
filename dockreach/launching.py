"""Starts daemons and stand-ins on loopback, for the demo, tests and benchmarks.

Daemons don't use this module: a daemon never starts a process.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import urllib3

from .declarations import key_hash
from .loopback import reserved_ip
from .messages import VmRow

START_TIMEOUT_S = 30.0
OPERATOR_KEY = "operator-key"
POLL_INTERVAL_S = 0.02


@dataclass(slots=True, frozen=True)
class EndpointSpec:
    """One endpoint to start: an engine, or a worker of a plain service."""

    name: str
    pool: str
    hall: str = "hall1"
    kind: str = "openai"
    slots: int = 8
    prefill_rate: float = 4000.0
    gap_ms: float = 20.0
    cache_blocks: int = 2048
    declared_gap_ms: float | None = None


@dataclass(slots=True, frozen=True)
class OrganisationSpec:
    """One organisation; its API key is its name followed by ``-key``."""

    name: str
    tiers: str
    share: float = 1.0
    extra: str = ""

    @property
    def key(self) -> str:
        """The organisation's API key."""
        return f"{self.name}-key"


@dataclass(slots=True)
class FleetSpec:
    """The endpoints and entries to start, and what is declared for them."""

    endpoints: list[EndpointSpec]
    organisations: list[OrganisationSpec]
    entries: list[tuple[str, str]] = field(
        default_factory=lambda: [("entry1", "hall1"), ("entry2", "hall1")]
    )
    tiers: dict[str, str] = field(
        default_factory=lambda: {
            "bulletin": "rank=0\ndeadline_s=20",
            "notice": "rank=1\ndeadline_s=20",
            "lookup": "rank=2\ndeadline_s=20",
        }
    )
    services: dict[str, str] = field(default_factory=dict)
    models: dict[str, str] = field(default_factory=dict)
    limits: str = ""
    prefill_weight: float = 1.0

    def declarations(self, revision: int, extra: str = "") -> str:
        """Return the text of this fleet's declarations file."""
        entries = ", ".join(name for name, _ in self.entries)
        parts = [
            f"[fleet]\nrevision={revision}\nentries={entries}\n"
            f"prefill_weight={self.prefill_weight}"
        ]
        parts += [f"[tier {name}]\n{text}" for name, text in self.tiers.items()]
        for org in self.organisations:
            parts.append(
                f"[organisation {org.name}]\nkey_sha256={key_hash(org.key)}\n"
                f"tiers={org.tiers}\nshare={org.share}\n{org.extra}"
            )
        pools = {item.pool for item in self.endpoints}
        parts += [f"[pool {name}]" for name in sorted(pools)]
        parts += [_endpoint_section(item) for item in self.endpoints]
        parts += [f"[model {name}]\npool={pool}" for name, pool in self.models.items()]
        parts += [f"[service {name}]\n{text}" for name, text in self.services.items()]
        return "\n\n".join([*parts, extra]) + "\n"


def _endpoint_section(item: EndpointSpec) -> str:
    gap = item.declared_gap_ms or item.gap_ms
    return (
        f"[endpoint {item.name}]\npool={item.pool}\nhall={item.hall}\nkind={item.kind}\n"
        f"slots={item.slots}\nprefill_rate={item.prefill_rate}\ngap_ms={gap}\n"
        f"cache_blocks={item.cache_blocks}"
    )


@dataclass(slots=True)
class Process:
    """A process that this module started.

    Attributes:
        name: The name of the daemon or stand-in.
        popen: The process.
        log: File with its output.
        ip: IP address on which it listens.
        http_port: Port for HTTP; 0 until it is known.
        link_port: Port for links of daemons; 0 until it is known.
    """

    name: str
    popen: subprocess.Popen[bytes]
    log: Path
    ip: str
    http_port: int = 0
    link_port: int = 0

    @property
    def url(self) -> str:
        """The URL of its HTTP server."""
        return f"http://{self.ip}:{self.http_port}"

    @property
    def link_address(self) -> str:
        """The address on which a daemon accepts links."""
        return f"{self.ip}:{self.link_port}"

    @property
    def pid(self) -> int:
        """The process id."""
        return self.popen.pid

    def send_signal(self, number: int) -> None:
        """Send a signal, unless the process has already ended."""
        with contextlib.suppress(ProcessLookupError):
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait until it has ended."""
        self.send_signal(signal.SIGKILL)
        self.popen.wait()

    def events(self) -> list[dict[str, Any]]:
        """Return the log events written so far."""
        rows = []
        for line in self.log.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                row = json.loads(line)
                if isinstance(row, dict):
                    rows.append(row)
        return rows


class Deployment:
    """A running fleet of daemons and stand-ins on loopback.

    All of them listen on one address, which no other deployment uses: daemons redial lost
    peers at their old ports, where a daemon of another deployment could listen by then.

    Args:
        spec: The fleet to start.

    Attributes:
        ip: The address; empty before the start.
    """

    def __init__(self, spec: FleetSpec) -> None:
        self.spec = spec
        self.ip = ""
        self.revision = 1
        self.directory = Path(tempfile.mkdtemp(prefix="dockreach-"))
        self.platform: Process | None = None
        self.engines: dict[str, Process] = {}
        self.agents: dict[str, Process] = {}
        self.entries: dict[str, Process] = {}
        self.http = urllib3.PoolManager(retries=False, maxsize=64)
        self._start_count = 0
        self._reservation = contextlib.ExitStack()

    def __enter__(self) -> Deployment:
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exc: object) -> None:
        self.stop()

    def start(self) -> None:
        """Start everything and wait until the entries are ready."""
        self.start_stand_ins()
        for item in self.spec.endpoints:
            self.agents[item.name] = self._start_agent(item)
        for name, hall in self.spec.entries:
            self.entries[name] = self._start_entry(name, hall)
        self._await_daemons([*self.agents.values(), *self.entries.values()])
        self.publish_vms()
        self.await_ready()

    def start_stand_ins(self) -> None:
        """Start the platform and the endpoints, and publish the declarations."""
        self.ip = self._reservation.enter_context(reserved_ip())
        self.platform = self._start_stand_in(
            "platform", "standin_platform", "--lag-ms", "100"
        )
        for item in self.spec.endpoints:
            self.engines[item.name] = self._start_engine(item)
        self._await_stand_ins()
        self.publish()

    def stop(self) -> None:
        """Kill every process that was started, each by its id; give the address back."""
        for process in self.processes():
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGKILL)
        for process in self.processes():
            process.popen.wait()
        self._reservation.close()

    def processes(self) -> list[Process]:
        """Return all processes started and not replaced."""
        found = [*self.entries.values(), *self.agents.values(), *self.engines.values()]
        return found + ([self.platform] if self.platform else [])

    def publish(self, extra: str = "") -> None:
        """Publish the declarations under the current revision."""
        body = self.spec.declarations(self.revision, extra)
        self.update_platform(config=body, revision=self.revision)

    def update_platform(self, **fields: Any) -> None:  # noqa: ANN401
        """Change the state of the platform stand-in through its ``/admin`` page."""
        assert self.platform is not None
        url = f"{self.platform.url}/admin"
        self.http.request("POST", url, body=msgspec.json.encode(fields))

    def publish_vms(
        self, leaving: tuple[str, ...] = (), excluded: tuple[str, ...] = ()
    ) -> None:
        """Publish the VM list, with some VMs marked as leaving and some left out."""
        halls = {item.name: item.hall for item in self.spec.endpoints}
        halls.update(dict(self.spec.entries))
        rows = []
        for role, table in (("agent", self.agents), ("entry", self.entries)):
            for name, process in table.items():
                if name in excluded:
                    continue
                state = "leaving" if name in leaving else "live"
                rows.append(VmRow(name, process.link_address, role, halls[name], state))
        self.update_platform(vms=[msgspec.to_builtins(row) for row in rows])

    def await_ready(self) -> None:
        """Wait until each entry is ready and linked to each live agent."""
        for process in self.entries.values():
            wait_until(lambda process=process: self._is_ready(process), process.name)

    def _is_ready(self, process: Process) -> bool:
        if self.get(process, "/readyz").status != 200:
            return False
        ups = {row.get("peer") for row in process.events() if row.get("event") == 200}
        if not set(self.agents) <= ups:
            return False
        agents = self.agents.values()
        return all(self.get(agent, "/readyz").status == 200 for agent in agents)

    def get(self, process: Process, path: str) -> urllib3.BaseHTTPResponse:
        """Fetch one HTTP page of a process."""
        return self.http.request("GET", f"{process.url}{path}", timeout=10.0)

    def metric(self, process: Process, name: str) -> float:
        """Return the sum of a metric over its labels."""
        text = self.get(process, "/metrics").data.decode()
        rows = [line for line in text.splitlines() if line.startswith(name)]
        return sum(float(line.rsplit(" ", 1)[1]) for line in rows)

    def control_engine(self, engine: str, **fields: Any) -> None:  # noqa: ANN401
        """Set the faults of an engine stand-in through its ``/control`` page."""
        url = f"{self.engines[engine].url}/control"
        self.http.request("POST", url, body=msgspec.json.encode(fields))

    def run_logs(self) -> dict[str, dict[str, Any]]:
        """Return the run logs of the engines that are up, by engine name."""
        logs = {}
        for name, process in self.engines.items():
            if process.popen.poll() is None:
                logs[name] = msgspec.json.decode(self.get(process, "/log").data)
        return logs

    def run_count(self, rid: str) -> int:
        """Return how many times a request was dispatched to engines, over all engines."""
        total = 0
        for log in self.run_logs().values():
            row = log.get(rid, 0)
            total += row if isinstance(row, int) else row["dispatched"]
        return total

    def restart_agent(self, name: str) -> Process:
        """Start a new process for an agent and publish its address."""
        item = next(spec for spec in self.spec.endpoints if spec.name == name)
        self.agents[name] = self._start_agent(item)
        self._await_daemons([self.agents[name]])
        self.publish_vms()
        return self.agents[name]

    def restart_agent_in_place(self, name: str) -> Process:
        """Start a new process for an agent at its old link address, without publishing."""
        item = next(spec for spec in self.spec.endpoints if spec.name == name)
        link = self.agents[name].link_port
        self.agents[name] = self._start_agent(item, link)
        self._await_daemons([self.agents[name]])
        return self.agents[name]

    def restart_entry(self, name: str) -> Process:
        """Start a new process for an entry and publish its address."""
        self.entries[name] = self._start_entry(name, dict(self.spec.entries)[name])
        self._await_daemons([self.entries[name]])
        self.publish_vms()
        return self.entries[name]

    def _start_engine(self, item: EndpointSpec) -> Process:
        if item.kind == "service":
            return self._start_stand_in(item.name, "standin_service")
        return self._start_stand_in(
            item.name,
            "standin_engine",
            "--prefill-rate",
            str(item.prefill_rate),
            "--gap-ms",
            str(item.gap_ms),
            "--batch",
            str(item.slots),
            "--cache-blocks",
            str(item.cache_blocks),
        )

    def _start_stand_in(self, name: str, module: str, *options: str) -> Process:
        return self.spawn(
            f"standin-{name}", f"dockreach.{module}", ["--ip", self.ip, *options]
        )

    def _start_agent(self, item: EndpointSpec, link: int = 0) -> Process:
        url = self.engines[item.name].url
        text = self._settings_text(item.name, "agent", item.hall, link)
        return self._start_daemon(item.name, f"{text}\n[engine]\nurl = {url}\n")

    def _start_entry(self, name: str, hall: str) -> Process:
        return self._start_daemon(name, self._settings_text(name, "entry", hall))

    def _settings_text(self, name: str, role: str, hall: str, link: int = 0) -> str:
        assert self.platform is not None
        return (
            f"[daemon]\nname = {name}\nrole = {role}\nhall = {hall}\n\n"
            f"[listen]\nhttp = {self.ip}:0\nlink = {self.ip}:{link}\n\n"
            f"[platform]\nurl = {self.platform.url}\n"
            "vm_poll_s = 0.3\nwatch_s = 5\n\n"
            f"[limits]\n{self.spec.limits}\n\n"
            f"[operators]\nkey_sha256 = {key_hash(OPERATOR_KEY)}\n"
        )

    def _start_daemon(self, name: str, settings: str) -> Process:
        path = self.directory / f"{name}.ini"
        path.write_text(settings)
        return self.spawn(name, "dockreach.daemon", ["--config", str(path)])

    def spawn(self, name: str, module: str, options: list[str]) -> Process:
        """Start a Python module as a process that logs to a file of its own."""
        self._start_count += 1
        log = self.directory / f"{name}-{self._start_count}.log"
        command = [sys.executable, "-m", module, *options]
        with log.open("wb") as file:
            popen = subprocess.Popen(  # noqa: S603
                command, stdout=file, stderr=file, stdin=subprocess.DEVNULL
            )
        return Process(name, popen, log, self.ip)

    def _await_stand_ins(self) -> None:
        assert self.platform is not None
        for process in [self.platform, *self.engines.values()]:
            wait_until(lambda process=process: read_port(process), process.name)

    def _await_daemons(self, processes: list[Process]) -> None:
        for process in processes:
            wait_until(lambda process=process: _read_daemon_ports(process), process.name)


def read_port(process: Process) -> bool:
    """Set a stand-in's port from its log; return whether the log has it."""
    for line in process.log.read_text().splitlines():
        if line.startswith("listening "):
            process.http_port = int(line.split()[1])
            return True
    return False


def _read_daemon_ports(process: Process) -> bool:
    for row in process.events():
        if row.get("event") == 100:
            process.http_port = row["http"]
            process.link_port = row["link"]
            return True
    return False


def wait_until(condition: Any, what: str, seconds: float = START_TIMEOUT_S) -> None:  # noqa: ANN401
    """Wait until a condition holds.

    Raises:
        TimeoutError: The condition did not hold in time.
    """
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"waited {seconds} s for {what}")
        time.sleep(POLL_INTERVAL_S)


@contextlib.contextmanager
def paused(process: Process) -> Iterator[None]:
    """Suspend a process for the duration of a ``with`` block."""
    process.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        process.send_signal(signal.SIGCONT)


def process_exists(pid: int) -> bool:
    """Return whether a process exists."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True
