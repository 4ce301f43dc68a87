"""Stand-ins for the scripts of the second review: platform store, workers, requesters.

Standard library only. Everything listens on loopback addresses of one random /24 of
127.0.0.0/8. The entries are the project's own program, started with the command of
`deploy/system.toml`, from the root of the repository.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
GOSSIP_PORTS = (7600, 7615)
START = time.monotonic()

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
"""The bounds of `catastra-valnorte`, as SYSTEM.md and DEPLOY.md name them."""


def now() -> float:
    """Return the seconds since the script began."""
    return time.monotonic() - START


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """Writes what happened to `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")

    def line(self, text: str) -> None:
        """Write one line with the time."""
        self._file.write(f"{now():8.3f}  {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Net:
    """Addresses of one random loopback network that nobody uses."""

    def __init__(self) -> None:
        for _ in range(50):
            self._base = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            if all(self._is_free(port) for port in (*GOSSIP_PORTS, 9464, 8221, 8229)):
                return
        raise CannotRunError("no free loopback network")

    def _is_free(self, port: int) -> bool:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((f"{self._base}.10", port))
            except OSError:
                return False
        return True

    def ip(self, number: int) -> str:
        """Return an address."""
        return f"{self._base}.{number}"


Headers = dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Read the first line and the headers of a message; names are in lower case."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Read a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        while (await reader.readline()).strip():
            pass
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(first: str, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """Return the bytes of a message."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def close(writer: asyncio.StreamWriter) -> None:
    """Close a connection."""
    with contextlib.suppress(OSError):
        writer.close()
        await writer.wait_closed()


class Server:
    """Serves HTTP/1.1 connections; a subclass answers the requests."""

    def __init__(self, ip: str, port: int = 0) -> None:
        self.ip = ip
        self.port = port
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """IP address and port."""
        return f"{self.ip}:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, self.ip, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening, and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target = first.split(" ")[:2]
                if not await self.answer(method, target, headers, body, writer):
                    return
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(OSError):
                writer.close()

    async def answer(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request; return whether the connection is kept."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: items, pages and watches, as PROTOCOL.md has them."""

    def __init__(self, ip: str, record: Record) -> None:
        super().__init__(ip)
        self.revision = 0
        self.record = record
        self._items: dict[str, dict[str, Any]] = {}
        self._changes: list[dict[str, Any]] = []
        self._changed = asyncio.Event()

    def put(self, key: str, value: dict[str, Any]) -> None:
        """Write an item."""
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        created = self._items.get(key, {}).get("created_rev", self.revision)
        item = {
            "tls_key": key,
            "value": text,
            "revision": self.revision,
            "created_rev": created,
            "lease": 0,
        }
        self._items[key] = item
        self._add(item)
        self.record.line(f"store: {key} written at revision {self.revision}")

    def delete(self, key: str) -> None:
        """Delete an item."""
        self.revision += 1
        del self._items[key]
        self._add({"tls_key": key, "revision": self.revision, "deleted": True})
        self.record.line(f"store: {key} deleted at revision {self.revision}")

    def _add(self, change: dict[str, Any]) -> None:
        self._changes.append(change)
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a read of the store."""
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if parts.path == "/api/kv-range":
            found = self._range(query)
        elif parts.path == "/api/kv-watch":
            found = await self._watch(query)
        else:
            found = {}
        data = json.dumps(found).encode()
        fields = [("Content-Type", "application/json"), ("Content-Length", str(len(data)))]
        writer.write(message("HTTP/1.1 200 OK", fields, data))
        await writer.drain()
        return True

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query.get("path_prefix", ""), query.get("since_revision", "")
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        items = [self._items[key] for key in keys[:500]]
        more = len(keys) > len(items)
        return {"items": items, "has_more": more, "store_revision": self.revision}

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, since = query.get("path_prefix", ""), int(query["since_revision"])
        end = now() + int(query.get("wait_ms", "0")) / 1000
        while True:
            changed = self._changed
            events = [
                change
                for change in self._changes
                if change["revision"] > since and change["tls_key"].startswith(prefix)
            ]
            left_s = end - now()
            if events or left_s <= 0:
                return {"events": events, "store_revision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)


class Worker(Server):
    """A sound worker of a service: runs each request for a time and answers it whole."""

    def __init__(self, ip: str, name: str, record: Record, *, work_s: float = 0.03) -> None:
        super().__init__(ip)
        self.id = f"i-{random.getrandbits(32):08x}"
        self.name = name
        self.work_s = work_s
        self.slots = 30
        self.running = 0
        self.arrivals: list[tuple[float, str, Headers]] = []
        self.record = record
        self.health_path = "/health"

    def beat(self, service: str, zone: str, **fields: object) -> dict[str, Any]:
        """Return the worker's entry in the store."""
        return {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            **fields,
        }

    async def answer(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a health check or run a request."""
        rid = headers.get("request-id", "")
        if target == self.health_path:
            fields = [("Instance-Id", self.id), ("Content-Length", "0")]
            writer.write(message("HTTP/1.1 200 OK", fields))
            await writer.drain()
            return True
        if headers.get("expected-instance", self.id) != self.id:
            fields = [
                ("Request-Id", rid),
                ("Instance-Id", self.id),
                ("Not-Executed", "1"),
                ("Content-Length", "0"),
            ]
            writer.write(message("HTTP/1.1 421 Misdirected Request", fields))
            await writer.drain()
            return True
        self.arrivals.append((now(), rid, headers))
        self.record.line(f"{self.name} runs {rid} {method} {target}, {len(body)} bytes")
        self.running += 1
        try:
            return await self.run(method, target, headers, body, writer)
        finally:
            self.running -= 1

    async def run(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run a request and answer it."""
        await asyncio.sleep(self.work_s)
        await self.respond(headers["request-id"], b"x" * 800, writer)
        return True

    async def respond(self, rid: str, data: bytes, writer: asyncio.StreamWriter) -> None:
        """Send a whole answer."""
        fields = [
            ("Request-Id", rid),
            ("Response-Seal", f"seal.{self.id}.{rid}"),
            ("Content-Length", str(len(data))),
        ]
        writer.write(message("HTTP/1.1 200 OK", fields, data))
        await writer.drain()


class Entry:
    """A process of the system, with the command of the deploy file."""

    def __init__(
        self,
        folder: Path,
        net: Net,
        number: int,
        store: Store,
        record: Record,
        *,
        seeds: list[str],
        zone: str = "bilbao-a",
        zones: tuple[str, ...] = ("bilbao-a", "vitoria-b", "santander-c"),
        bounds: dict[str, Any] | None = None,
        memory_mb: int = 150,
    ) -> None:
        self.ip = net.ip(10 + number)
        self.name = f"front-{zone}-{number}"
        self.front = (self.ip, 8221)
        self.ready = (self.ip, 8224)
        self.record = record
        self._path = folder / f"{self.name}.json"
        self._log_path = folder / f"{self.name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self._settings: dict[str, Any] = {
            "node_name": self.name,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": self.ip,
            "zone": zone,
            "region": "norte",
            "zones": dict.fromkeys(zones, "norte"),
            "listen_addrs": {
                "front": f"{self.ip}:8221",
                "ready": f"{self.ip}:8224",
                "control": f"{self.ip}:8229",
            },
            "port_range": list(GOSSIP_PORTS),
            "seeds": seeds,
            "bootstrap": True,
            "loss_counts": False,
            "limits": {
                "cpu_share": 0.817,
                "vcpus": 1,
                "memory_mb": memory_mb,
                "max_fds": 4100,
                "bandwidth_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "policies": ["base", "drain", "config", "cost", "retry", "recover", "engine"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {**BOUNDS, **(bounds or {})},
            "platform": {
                "address": store.address,
                "form": "read",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }

    async def start(self, *, bootstrap: bool) -> None:
        """Start the process, with the settings in force."""
        self._settings["bootstrap"] = bootstrap
        self._path.write_text(json.dumps(self._settings))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        env = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        env.update(role["env"])
        env["DOCKREACH_CONFIG"] = str(self._path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *shlex.split(role["run"]), cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.record.line(f"{self.name} started, bootstrap {bootstrap}")

    @property
    def pid(self) -> int:
        """Process id."""
        assert self._process is not None
        return self._process.pid

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self._process is None or self._process.returncode is not None

    @property
    def log_path(self) -> Path:
        """Where its output goes."""
        return self._log_path

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        if not self.has_ended:
            os.kill(self.pid, number)
            self.record.line(f"{self.name} gets {number.name}")

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None and not self.has_ended:
            self.signal(signal.SIGKILL)
            await self._process.wait()

    async def wait(self) -> int:
        """Wait for the end of the process; return its exit status."""
        assert self._process is not None
        return await self._process.wait()

    async def is_ready(self) -> bool:
        """Return whether it calls itself ready."""
        fields = [("Host", self.ip), ("Connection", "close")]
        request = message("GET /api/readiness HTTP/1.1", fields)
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(request)
                first, _ = await read_head(reader)
                await close(writer)
        except (OSError, EOFError, TimeoutError):
            return False
        return first.split(" ")[1] == "200"

    async def wait_until_ready(self, timeout_s: float = 15.0) -> None:
        """Wait until it calls itself ready."""
        end = now() + timeout_s
        while not await self.is_ready():
            if now() > end or self.has_ended:
                raise CannotRunError(f"{self.name} did not get ready")
            await asyncio.sleep(0.05)
        self.record.line(f"{self.name} is ready")


class Answer:
    """An answer as a requester got it."""

    def __init__(self, status: int, headers: Headers, body: bytes, problem: str) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.problem = problem


async def ask(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes = b"",
    *,
    timeout_s: float,
) -> Answer:
    """Send one request on a new connection and read its whole answer."""
    status, fields, data = 0, {}, b""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            length = [("Content-Length", str(len(body)))] if body else []
            writer.write(message(f"{method} {target} HTTP/1.1", [*headers, *length], body))
            await writer.drain()
            first, fields = await read_head(reader)
            status = int(first.split(" ")[1])
            data = await read_body(reader, fields)
        return Answer(status, fields, data, "")
    except (OSError, EOFError, TimeoutError, ValueError) as exc:
        return Answer(status, fields, data, type(exc).__name__)
    finally:
        if writer is not None:
            await close(writer)


def request_id() -> str:
    """Return a new id."""
    return f"{random.getrandbits(64):016x}"


async def play(
    folder: Path,
    case: Callable[[Path, Record, bool], Awaitable[bool]],
    limit_s: float = 110.0,
) -> int:
    """Play a case; return the exit status of its script."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    task = asyncio.current_task()
    if task is not None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    record = Record(folder)
    record.line(f"trouble: {has_trouble}")
    with tempfile.TemporaryDirectory(prefix="review-") as scratch:
        try:
            async with asyncio.timeout(limit_s):
                is_broken = await case(Path(scratch), record, has_trouble)
        except (Exception, asyncio.CancelledError) as exc:
            # Only a case that was played to its end tells whether the rule was broken.
            record.line(f"could not run: {exc!r}")
            print(f"could not run: {exc!r}")
            return 2
        finally:
            if os.environ.get("KEEP_LOGS"):
                for path in Path(scratch).glob("*.log"):
                    target = Path(os.environ["KEEP_LOGS"]) / path.name
                    target.write_bytes(path.read_bytes())
            record.close()
    return 1 if is_broken else 0


def main(folder: str, case: Callable[[Path, Record, bool], Awaitable[bool]]) -> None:
    """Play the case of a folder, and exit with its status."""
    sys.exit(asyncio.run(play(Path(folder).resolve(), case)))
