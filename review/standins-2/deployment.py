"""A small deployment for the scripts of this review, with the standard library alone.

The entries are the project's own program, started by the command of the deploy file, one
process each, with a loopback address of its own. The store, the workers and the requesters
are stand-ins that follow PROTOCOL.md. All of them run in one event loop.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes: the rule held, it was broken, the case could not run."""

FRONT_PORT = 8221
READY_PORT = 8224
CONTROL_PORT = 8229
GOSSIP_PORT = 7600
METRICS_PORT = 9464
ENTRY_PORTS = (FRONT_PORT, READY_PORT, CONTROL_PORT, GOSSIP_PORT, METRICS_PORT)

HOST = "ficu95.example"

BOUNDS: dict[str, Any] = {
    "seed_lag_s": 3,
    "reuse_delay_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "sync_s": 4,
    "drain_timeout_ms": 2000,
    "grace_period_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "strict_revoke": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_burst": 58,
    "quota_window_s": 8,
    "quota_over": 0.25,
    "quota_slack": 72000,
    "recover_s": 12,
    "pass_ms": 120,
    "again_s": 6.8,
}
"""Bounds of the site catastra-valnorte, as SYSTEM.md gives them."""

ZONES = ("bilbao-a", "vitoria-b", "santander-c")


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to a file, one line each.

    Args:
        path: The file.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def write(self, event: str, **fields: object) -> None:
        """Write a line: the time in seconds, the event and its fields."""
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {event} {values}\n")
        self._file.flush()

    def now(self) -> float:
        """Return the time since the start, in seconds."""
        return time.monotonic() - self._began_at

    def say(self, text: str) -> None:
        """Write a line, and print it."""
        self.write("note", text=repr(text))
        print(text, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Head:
    """The first line and the headers of a message."""

    def __init__(self, data: bytes) -> None:
        first, *lines = data.decode("latin-1").split("\r\n")
        self.first = first
        self.headers: dict[str, str] = {}
        for line in lines:
            name, separator, value = line.partition(":")
            if separator:
                self.headers.setdefault(name.strip().lower(), value.strip())


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Read a head; ``None`` if the connection ends before."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return Head(data[:-4])


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Read a body by its length or its chunks."""
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(head.headers.get("content-length", "0")))


async def close(writer: asyncio.StreamWriter) -> None:
    """Close a connection."""
    with contextlib.suppress(ConnectionError, OSError):
        writer.close()
        await writer.wait_closed()


class Store:
    """The platform's store: items, and a history of their changes.

    Attributes:
        address: IP address and port.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._revision = 0
        self._items: dict[str, dict[str, Any]] = {}
        self._changes: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self._silenced_from = 0
        self._connections = itertools.count()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self, ip: str) -> None:
        """Start to serve."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    def put(self, key: str, value: dict[str, Any]) -> None:
        """Write an item; returns once it is acknowledged."""
        self._revision += 1
        known = self._items.get(key, {})
        item = {
            "tls_key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "revision": self._revision,
            "created_rev": known.get("created_rev", self._revision),
            "lease": 0,
        }
        self._items[key] = item
        self._add(item)

    def delete(self, key: str) -> None:
        """Delete an item; returns once it is acknowledged."""
        self._revision += 1
        del self._items[key]
        self._record.write("store-delete", key=key, revision=self._revision)
        self._add({"tls_key": key, "revision": self._revision, "deleted": True})

    def _add(self, change: dict[str, Any]) -> None:
        self._changes.append(change)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def silence_open_connections(self) -> None:
        """Let all open connections go silent for good; new ones work."""
        self._silenced_from = next(self._connections)
        self._record.write("store-connections-silent")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = next(self._connections)
        try:
            while (head := await read_head(reader)) is not None:
                status, body = await self._respond(head.first.split(" ")[1])
                if number < self._silenced_from:
                    await asyncio.sleep(3600)
                data = json.dumps(body).encode()
                text = f"HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\n"
                text += f"Content-Length: {len(data)}\r\n\r\n"
                writer.write(text.encode() + data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            await close(writer)

    async def _respond(self, target: str) -> tuple[int, dict[str, Any]]:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        prefix = query.get("path_prefix", "")
        if parts.path == "/api/kv-range":
            after = query.get("since_revision", "")
            keys = sorted(
                key for key in self._items if key.startswith(prefix) and key > after
            )
            items = [self._items[key] for key in keys]
            return 200, {
                "items": items,
                "has_more": False,
                "store_revision": self._revision,
            }
        if parts.path == "/api/kv-watch":
            return 200, await self._watch(
                prefix, int(query["since_revision"]), int(query["wait_ms"]) / 1000
            )
        item = self._items.get(query.get("tls_key", ""))
        if item is None:
            return 404, {"store_revision": self._revision}
        return 200, {**item, "store_revision": self._revision}

    async def _watch(self, prefix: str, since: int, wait_s: float) -> dict[str, Any]:
        deadline = time.monotonic() + wait_s
        while True:
            changed = self._changed
            events = [
                change
                for change in self._changes
                if change["revision"] > since and change["tls_key"].startswith(prefix)
            ]
            left_s = deadline - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "store_revision": self._revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)


@dataclass
class WorkerRequest:
    """A request that a worker received, and its connection."""

    head: Head
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def rid(self) -> str:
        """Its id."""
        return self.head.headers.get("request-id", "")

    @property
    def path(self) -> str:
        """Its path."""
        return self.head.first.split(" ")[1]

    @property
    def tokens(self) -> int:
        """The two numbers of its `Token-Counts` together."""
        counts = self.head.headers.get("token-counts", "0,0").split(",")
        return sum(map(int, counts))

    async def answer(self, body: bytes, status: str = "200 OK", more: str = "") -> None:
        """Send a whole answer."""
        text = f"HTTP/1.1 {status}\r\nRequest-Id: {self.rid}\r\n{more}"
        text += f"Content-Length: {len(body)}\r\n\r\n"
        self.writer.write(text.encode() + body)
        await self.writer.drain()


@dataclass
class Arrival:
    """A request that a worker began to run.

    Attributes:
        at: Time of its arrival since the start, in seconds.
        sender: IP address of the entry that sent it.
    """

    at: float
    worker: str
    rid: str
    sender: str
    tokens: int


class Worker:
    """A worker: it runs requests that expect it, up to its slots, and tells its id.

    Args:
        run: Runs a request and answers it.
        slots: Requests that it runs at a time.
        queue: Requests that may wait for a slot; it refuses more.
    """

    def __init__(
        self,
        record: Record,
        worker_id: str,
        service: str,
        zone: str,
        run: Callable[[Worker, WorkerRequest], Awaitable[None]],
        *,
        slots: int = 6,
        queue: int = 24,
    ) -> None:
        self._record = record
        self._run = run
        self.id = worker_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self._queue = queue
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._server: asyncio.Server | None = None
        self._sequence = 0
        self.address = ""
        self.arrivals: list[Arrival] = []

    async def start(self, ip: str) -> None:
        """Start to serve."""
        self._server = await asyncio.start_server(self._serve, ip, 0, limit=1 << 20)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    def entry(self) -> dict[str, Any]:
        """Return its entry in the store."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                request = WorkerRequest(head, await read_body(reader, head), reader, writer)
                await self._handle(request)
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            await close(writer)

    async def _handle(self, request: WorkerRequest) -> None:
        own_id = f"Instance-Id: {self.id}\r\n"
        expected = request.head.headers.get("expected-instance", self.id)
        if expected != self.id:
            await request.answer(b"", "421 Misdirected Request", own_id)
            return
        if not request.rid:
            await request.answer(b"", "200 OK", own_id)
            return
        if self._waiting >= self._queue:
            await request.answer(b"", "503 Service Unavailable", "Not-Executed: 1\r\n")
            return
        sender = request.writer.get_extra_info("peername")[0]
        arrived_at = self._record.now()
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            arrival = Arrival(arrived_at, self.id, request.rid, sender, request.tokens)
            self.arrivals.append(arrival)
            self._record.write(
                "run",
                worker=self.id,
                rid=request.rid,
                after=request.head.headers.get("last-event-id", "-"),
                tokens=request.tokens,
                sender=sender,
                arrived=f"{arrived_at:.3f}",
            )
            await self._run(self, request)
        finally:
            self._free.release()


@dataclass
class Answer:
    """What a requester received.

    Attributes:
        status: Status; 0 if there was none.
        is_whole: Whether the answer was complete.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False


class Entry:
    """One entry process, with the command and the environment of the deploy file."""

    def __init__(
        self,
        record: Record,
        name: str,
        ip: str,
        zone: str,
        folder: Path,
        settings: dict[str, Any],
    ) -> None:
        self._record = record
        self.name = name
        self.ip = ip
        self.zone = zone
        self._path = folder / f"{name}.json"
        self._log_path = folder / f"{name}.log"
        self._settings = settings
        self._process: subprocess.Popen[bytes] | None = None
        self._starts = 0
        self._misses = 2

    @property
    def pid(self) -> int:
        """Process id; 0 if it does not run."""
        return self._process.pid if self.is_running and self._process else 0

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def is_in(self) -> bool:
        """Whether the platform passes connections to it."""
        return self._misses < 2

    def start(self) -> None:
        """Start the process."""
        settings = {**self._settings, "bootstrap": self._starts == 0}
        self._path.write_text(json.dumps(settings))
        self._starts += 1
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"][
            "entry"
        ]
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "DOCKREACH_CONFIG": str(self._path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            **role["env"],
        }
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self._record.write("entry-start", name=self.name, ip=self.ip)

    def send(self, number: signal.Signals) -> None:
        """Send it a signal."""
        if self.is_running and self._process is not None:
            self._record.write("entry-signal", name=self.name, signal=number.name)
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill it and wait for its end."""
        if self._process is None:
            return
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self._process.wait()

    def status_kb(self, name: str) -> int:
        """Return a figure of its memory in KB, as the kernel tells it; 0 if it ended."""
        try:
            text = Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return 0
        for line in text.splitlines():
            if line.startswith(f"{name}:"):
                return int(line.split()[1])
        return 0

    async def check_readiness(self) -> None:
        """Ask whether it is ready, as the platform does."""
        answer = await exchange(
            self.ip, READY_PORT, b"GET /api/readiness HTTP/1.1\r\nHost: r\r\n\r\n", 0.9
        )
        if answer.status == 200:
            self._misses = 0
        else:
            self._misses += 1


async def exchange(ip: str, port: int, request: bytes, timeout_s: float) -> Answer:
    """Send a request on a new connection and read the answer."""
    answer = Answer()
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port, limit=1 << 20)
            writer.write(request)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return answer
            answer.status = int(head.first.split(" ")[1])
            answer.headers = head.headers
            if head.headers.get("transfer-encoding", "").lower() == "chunked":
                await _read_chunks(reader, answer)
            else:
                answer.body = await read_body(reader, head)
                answer.is_whole = True
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            await close(writer)
    return answer


async def _read_chunks(reader: asyncio.StreamReader, answer: Answer) -> None:
    while size := int((await reader.readline()).split(b";")[0], 16):
        answer.body += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    answer.is_whole = True


def encode(method: str, path: str, headers: dict[str, str], body: bytes) -> bytes:
    """Encode a request with a length."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def new_rid() -> str:
    """Return a new request id."""
    return f"{random.getrandbits(64):016x}"


class Deployment:
    """The entries, the store and the workers of a case.

    Args:
        folder: Folder of the case, where `record.txt` is written.
        zones: The zone of each entry.
        memory_mb: Memory of a process, in the settings.
    """

    def __init__(
        self,
        folder: Path,
        zones: tuple[str, ...],
        *,
        memory_mb: int = 150,
        seeds: int = 3,
    ) -> None:
        self.record = Record(folder / "record.txt")
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record.say(f"trouble: {'on' if self.has_trouble else 'off'}")
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.record)
        self.workers: list[Worker] = []
        self._zones = zones
        self._memory_mb = memory_mb
        self._seeds = seeds
        self._net = _free_net(len(zones))
        self.entries: list[Entry] = []
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def outer_ip(self) -> str:
        """IP address of the store and the workers."""
        return f"{self._net}.200"

    async def start(self, config: dict[str, Any]) -> None:
        """Start the store, the workers and the entries, and wait until these are ready.

        Raises:
            CaseError: They are not ready in time.
        """
        await self.store.start(self.outer_ip)
        self.store.put("op/config", config)
        for worker in self.workers:
            await worker.start(self.outer_ip)
            self.store.put(f"servers/{worker.id}", worker.entry())
        ips = [f"{self._net}.{number + 1}" for number in range(len(self._zones))]
        seeds = [f"{ip}:{CONTROL_PORT}" for ip in ips[: self._seeds]]
        for number, (ip, zone) in enumerate(zip(ips, self._zones, strict=True)):
            settings = self._settings(f"front-{zone}-{number + 1}", ip, zone, seeds)
            name = settings["node_name"]
            entry = Entry(self.record, name, ip, zone, self.temporary, settings)
            self.entries.append(entry)
            entry.start()
        self.spawn(self._beat())
        for entry in self.entries:
            self.spawn(self._check(entry))
        await self.wait_for(lambda: all(entry.is_in for entry in self.entries), 20.0)

    async def wait_for(self, condition: Callable[[], bool], seconds: float) -> None:
        """Wait for a condition.

        Raises:
            CaseError: It does not hold in time.
        """
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                raise CaseError("the entries are not ready")
            await asyncio.sleep(0.05)

    def _settings(self, name: str, ip: str, zone: str, seeds: list[str]) -> dict[str, Any]:
        return {
            "node_name": name,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": ip,
            "zone": zone,
            "region": "norte",
            "zones": dict.fromkeys(ZONES, "norte"),
            "listen_addrs": {
                "front": f"{ip}:{FRONT_PORT}",
                "ready": f"{ip}:{READY_PORT}",
                "control": f"{ip}:{CONTROL_PORT}",
            },
            "port_range": [GOSSIP_PORT, GOSSIP_PORT + 15],
            "seeds": seeds,
            "loss_counts": False,
            "limits": {
                "cpu_share": 0.817,
                "vcpus": 1,
                "memory_mb": self._memory_mb,
                "max_fds": 4100,
                "bandwidth_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "policies": [],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": self.store.address,
                "form": "read",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }

    async def _check(self, entry: Entry) -> None:
        while True:
            began = time.monotonic()
            await entry.check_readiness()
            wait_s = 1.0 if entry.is_in else 0.2
            await asyncio.sleep(max(began + wait_s - time.monotonic(), 0.0))

    async def _beat(self) -> None:
        """Note the workers' heartbeats: only `sequence` changes, so no entry does."""
        while True:
            await asyncio.sleep(1.2)

    def spawn(self, work: Awaitable[None]) -> asyncio.Task[None]:
        """Run something beside the case until its end."""

        async def run() -> None:
            await work

        task = asyncio.create_task(run())
        self._tasks.append(task)
        return task

    async def ask(
        self,
        entry: Entry,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
    ) -> Answer:
        """Send a request on a new connection; a connection closed unread is repeated.

        A `Request-Id` and the deadline in the headers are the caller's.
        """
        rid = headers["Request-Id"]
        seconds = int(headers["Request-Deadline-Ms"]) / 1000
        answer = await exchange(
            entry.ip, FRONT_PORT, encode(method, path, headers, body), seconds
        )
        self.record.write(
            "answer",
            rid=rid,
            entry=entry.name,
            status=answer.status,
            whole=answer.is_whole,
        )
        return answer

    async def stop(self) -> None:
        """End everything that was started."""
        for task in self._tasks:
            task.cancel()
        for entry in self.entries:
            entry.kill()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            shutil.copytree(self.temporary, logs, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)
        self.record.close()


def _free_net(count: int) -> str:
    """Return the first three bytes of loopback addresses whose ports are free.

    Raises:
        CaseError: None was found.
    """
    for _ in range(50):
        net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        if all(_is_free(f"{net}.{number + 1}") for number in range(count)):
            return net
    raise CaseError("no free addresses")


def _is_free(ip: str) -> bool:
    try:
        for port in ENTRY_PORTS:
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.bind((ip, port))
    except OSError:
        return False
    return True


@contextlib.contextmanager
def _no_interrupt() -> Iterator[None]:
    """Turn SIGTERM into an exception, so that what was started is ended."""

    def stop(_number: int, _frame: object) -> None:
        raise CaseError("ended by a signal")

    signal.signal(signal.SIGTERM, stop)
    yield


def run_case(case: Callable[[], Awaitable[int]], limit_s: float = 115.0) -> None:
    """Run a case and exit with its code."""

    async def bounded() -> int:
        async with asyncio.timeout(limit_s):
            return await case()

    with _no_interrupt():
        try:
            code = asyncio.run(bounded())
        except (CaseError, TimeoutError, OSError) as exc:
            print(f"the case could not run: {exc!r}")
            traceback.print_exc()
            code = NOT_RUN
    sys.exit(code)
