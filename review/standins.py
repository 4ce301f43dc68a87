"""Small stand-ins for the review cases: the platform's store, workers, and HTTP parts.

They follow the users' pages; where a page is silent, they behave like a sound store, worker
or requester. They use the standard library only.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

HISTORY_S = 20.0
"""How long the store keeps its history of changes, in seconds."""

ANSWER_S = 0.004
BYTES_PER_S = 125_000_000
"""Time that the store takes for an answer, in seconds, and the speed of its link, which all
machines share: 4 ms and 1,000 Mbit/s, as the sheets have it."""

PIECE_BYTES = 65536

Headers = dict[str, str]


@dataclass(slots=True)
class Request:
    """A request as a stand-in has read it."""

    method: str
    target: str
    headers: Headers
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers] | None:
    """Read a start line and headers; ``None`` if the peer closed the connection."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, *rest = text[:-4].split("\r\n")
    headers = {}
    for item in rest:
        name, _, value = item.partition(":")
        headers[name.strip().lower()] = value.strip()
    return line, headers


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a request whose body, if any, has a length."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    length = int(head[1].get("content-length", "0"))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, head[1], body)


def response(status: str, body: bytes = b"", **headers: str) -> bytes:
    """Return a whole response with its length; header names are written with ``_``."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


@dataclass(slots=True)
class _Change:
    """One change, as the store sends it."""

    key: str
    revision: int
    text: bytes
    at: float = field(default_factory=time.monotonic)


class Store:
    """The platform's store: pages, and watches that wait for changes.

    Attributes:
        address: IP address and port on which it listens.
        cut_watches: Number of waiting watches that were cut.
    """

    def __init__(self, ip: str) -> None:
        self._ip = ip
        self.address = ""
        self.cut_watches = 0
        self._revision = 1
        self._forgotten = 0
        self._link_free_at = 0.0
        self._items: dict[str, bytes] = {}
        self._created: dict[str, int] = {}
        self._changes: list[_Change] = []
        self._changed = asyncio.Event()
        self._watching: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start to listen on a free port."""
        server = await asyncio.start_server(self._serve, self._ip, 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname()[:2])

    def put(self, key: str, value: dict[str, Any] | bytes) -> float:
        """Write an item; return the monotonic time of the acknowledgement.

        Args:
            key: Its key.
            value: Its value, or its value as `encode` returns it.
        """
        self._revision += 1
        text = value if isinstance(value, bytes) else encode(value)
        created = self._created.setdefault(key, self._revision)
        fields = {
            "tls_key": key,
            "revision": self._revision,
            "created_rev": created,
            "lease": 0,
        }
        item = json.dumps(fields).encode()[:-1] + b', "value": "' + text + b'"}'
        self._items[key] = item
        return self._record(_Change(key, self._revision, item))

    def delete(self, key: str) -> float:
        """Delete an item; return the monotonic time of the acknowledgement."""
        self._revision += 1
        del self._items[key]
        fields = {"tls_key": key, "revision": self._revision, "deleted": True}
        return self._record(_Change(key, self._revision, json.dumps(fields).encode()))

    def _record(self, change: _Change) -> float:
        now = change.at
        self._changes.append(change)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return now

    def cut_waiting_watches(self) -> None:
        """Close the connections of the watches that wait now."""
        for writer in list(self._watching):
            self.cut_watches += 1
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while (req := await read_request(reader)) is not None:
                parts = urlsplit(req.target)
                query = {key: item[0] for key, item in parse_qs(parts.query).items()}
                if parts.path == "/api/kv-range":
                    answer = self._page(query)
                elif parts.path == "/api/kv-watch":
                    self._watching.add(writer)
                    try:
                        answer = await self._watch(query)
                    finally:
                        self._watching.discard(writer)
                else:
                    answer = response("404 Not Found")
                if writer.is_closing():
                    break
                await asyncio.sleep(ANSWER_S)
                await self._send(writer, answer)
        writer.close()

    async def _send(self, writer: asyncio.StreamWriter, answer: bytes) -> None:
        """Send an answer piece by piece, at the speed of the link."""
        for start in range(0, len(answer), PIECE_BYTES):
            piece = answer[start : start + PIECE_BYTES]
            free_at = max(self._link_free_at, time.monotonic())
            self._link_free_at = free_at + len(piece) / BYTES_PER_S
            await asyncio.sleep(max(free_at - time.monotonic(), 0.0))
            writer.write(piece)
            await writer.drain()

    def _page(self, query: dict[str, str]) -> bytes:
        prefix, start = query.get("path_prefix", ""), query.get("since_revision", "")
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > start)
        items = b", ".join(self._items[key] for key in keys[:500])
        more = {"has_more": len(keys) > 500, "store_revision": self._revision}
        return response("200 OK", b'{"items": [' + items + b"], " + _open_end(more))

    async def _watch(self, query: dict[str, str]) -> bytes:
        since = int(query["since_revision"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        self._forget()
        if since < self._forgotten:
            return response("410 Gone")
        while not (events := self._events(query["path_prefix"], since)):
            left_s = until - time.monotonic()
            if left_s <= 0:
                break
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)
        more = {"store_revision": self._revision}
        found = b", ".join(events)
        return response("200 OK", b'{"events": [' + found + b"], " + _open_end(more))

    def _forget(self) -> None:
        """Drop the changes that are older than the history."""
        while self._changes and self._changes[0].at < time.monotonic() - HISTORY_S:
            self._forgotten = self._changes.pop(0).revision

    def _events(self, prefix: str, since: int) -> list[bytes]:
        return [
            change.text
            for change in self._changes
            if change.revision > since and change.key.startswith(prefix)
        ]


def encode(value: dict[str, Any]) -> bytes:
    """Return a value as the store sends it: JSON in base64."""
    return base64.b64encode(json.dumps(value).encode())


def _open_end(fields: dict[str, Any]) -> bytes:
    """Return fields in JSON without the opening brace."""
    return json.dumps(fields).encode()[1:]


class StorePath:
    """One machine's path to the store, which can be cut; a cut resets connections.

    Attributes:
        address: IP address and port that stand for the store on this machine.
        calls: Number of pieces of data that the machine sent to the store.
    """

    def __init__(self, ip: str, store: str) -> None:
        self._ip = ip
        self._store = store
        self._is_cut = False
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""
        self.calls = 0

    async def start(self) -> None:
        """Start to listen on a free port."""
        server = await asyncio.start_server(self._serve, self._ip, 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname()[:2])

    def cut(self) -> None:
        """Reset the open connections, and each new one until the cut heals."""
        self._is_cut = True
        for writer in list(self._writers):
            writer.transport.abort()

    def heal(self) -> None:
        """Let new connections pass again."""
        self._is_cut = False

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_cut:
            writer.transport.abort()
            return
        ip, _, port = self._store.rpartition(":")
        from_store, to_store = await asyncio.open_connection(ip, int(port))
        pair = {writer, to_store}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._copy(reader, to_store, is_call=True),
                self._copy(from_store, writer, is_call=False),
            )
        finally:
            self._writers -= pair

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, is_call: bool
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                self.calls += is_call
                writer.write(data)
                await writer.drain()
        writer.close()


@dataclass(slots=True)
class Arrival:
    """A request that arrived at a worker and was addressed to it.

    Attributes:
        at: Monotonic time of its arrival, in seconds.
        is_done: Whether the worker has sent its whole answer.
    """

    rid: str
    at: float
    is_done: bool = False


@dataclass(slots=True)
class Plan:
    """How a worker answers.

    Attributes:
        work_s: Time that a request takes, in seconds.
        events: Events of a stream; 0 for a plain answer.
        slots: Requests that it works on at a time.
    """

    work_s: float
    events: int = 0
    slots: int = 5


Spoil = Callable[[Request, asyncio.StreamWriter], Awaitable[None] | None]


class Worker:
    """One lifetime of a worker.

    Attributes:
        id: Its id, new with each start.
        arrivals: Requests that it ran.
        spoil: If set, is asked at each request for a spoilt answer, which may be ``None``.
    """

    def __init__(self, store: Store, ip: str, name: str, service: str, zone: str) -> None:
        self._store = store
        self._ip = ip
        self.id = name
        self.service = service
        self.zone = zone
        self.plan = Plan(0.045)
        self.address = ""
        self.arrivals: list[Arrival] = []
        self.spoil: Spoil | None = None
        self._sequence = 0
        self._state = "ready"
        self._places = asyncio.Semaphore(1)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start to listen on a free port, and write the record in the store.

        The record changes when more than ``sequence`` does, so that heartbeats, which keep
        it from lapsing, show nothing; this store lets no record lapse.
        """
        self._places = asyncio.Semaphore(self.plan.slots)
        self._server = await asyncio.start_server(self._serve, self._ip, 0, limit=1 << 20)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])
        self.write_record()

    def write_record(self) -> None:
        """Write the record in the store."""
        self._sequence += 1
        self._store.put(
            f"servers/{self.id}",
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.plan.slots,
                "state": self._state,
                "cold_remaining_ms": 0,
                "sequence": self._sequence,
            },
        )

    def say_draining(self) -> None:
        """Write that it takes no new requests."""
        self._state = "draining"
        self.write_record()

    def leave(self) -> float:
        """Withdraw the record without saying ``draining``; return the store's ack time."""
        return self._store.delete(f"servers/{self.id}")

    def end(self) -> None:
        """End: stop to listen, and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(ConnectionError):
                while (req := await read_request(reader)) is not None:
                    await self._answer(req, writer)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, req: Request, writer: asyncio.StreamWriter) -> None:
        rid = req.headers.get("request-id", "")
        if req.target == "/health":
            writer.write(response("200 OK", Instance_Id=self.id))
            return
        if req.headers.get("expected-instance", self.id) != self.id:
            writer.write(response("421 Misdirected Request", Request_Id=rid))
            return
        arrival = Arrival(rid, time.monotonic())
        self.arrivals.append(arrival)
        async with self._places:
            spoilt = self.spoil(req, writer) if self.spoil is not None else None
            if spoilt is not None:
                await spoilt
                return
            if self.plan.events:
                await self._stream(rid, writer)
            else:
                await asyncio.sleep(self.plan.work_s)
                body = f"answer to {rid}".encode()
                writer.write(response("200 OK", body, Request_Id=rid, Response_Seal="s"))
            await writer.drain()
        arrival.is_done = True

    async def _stream(self, rid: str, writer: asyncio.StreamWriter) -> None:
        writer.write(stream_head(rid))
        for number in range(1, self.plan.events + 1):
            await asyncio.sleep(self.plan.work_s)
            writer.write(chunk(f"id: {number}\ndata: {rid}\n\n".encode()))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def stream_head(rid: str) -> bytes:
    """Return the head of a stream whose body comes in chunks."""
    lines = [
        "HTTP/1.1 200 OK",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
        f"Request-Id: {rid}",
        "Response-Seal: s",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Return one chunk of a body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


@dataclass(slots=True)
class Answer:
    """What a requester saw of one request.

    Attributes:
        status: Status of the answer; 0 if there was none.
        is_whole: Whether the answer was complete.
        sent_at: Monotonic time at which it was sent, in seconds.
        ended_at: Monotonic time of the end of the answer, or of the requester's own end.
        entry: Name of the entry that it was sent to.
        error: How the connection ended; empty if there was an answer.
    """

    rid: str
    route: str
    entry: str
    sent_at: float
    status: int = 0
    is_whole: bool = False
    ended_at: float = 0.0
    error: str = ""
    body: bytes = field(default=b"", repr=False)


class Requester:
    """Sends requests to one entry over a kept connection, one after another."""

    def __init__(self, entry: str, address: tuple[str, int]) -> None:
        self._entry = entry
        self._address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(
        self, route: str, rid: str, *, wait_s: float, deadline_ms: int, **headers: str
    ) -> Answer:
        """Send one request; wait at most ``wait_s`` seconds for its whole answer."""
        answer = Answer(rid, route, self._entry, time.monotonic())
        lines = [
            f"POST /{route}/x HTTP/1.1",
            "Host: desk.example",
            f"Request-Id: {rid}",
            f"Request-Deadline-Ms: {deadline_ms}",
            "Content-Length: 0",
        ]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        try:
            async with asyncio.timeout(wait_s):
                reader, writer = await self._connect()
                answer.sent_at = time.monotonic()
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
                await self._read(reader, answer)
        except TimeoutError:
            answer.error = "no answer in time"
        except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
            answer.error = f"{type(exc).__name__}"
        answer.ended_at = time.monotonic()
        if not answer.is_whole:
            self.close()
        return answer

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._streams is None:
            self._streams = await asyncio.open_connection(*self._address, limit=1 << 20)
        return self._streams

    async def _read(self, reader: asyncio.StreamReader, answer: Answer) -> None:
        head = await read_head(reader)
        if head is None:
            raise ConnectionResetError
        answer.status = int(head[0].split(" ")[1])
        headers = head[1]
        if "content-length" in headers:
            answer.body = await reader.readexactly(int(headers["content-length"]))
        else:
            await self._read_chunks(reader, answer)
        answer.is_whole = True
        if headers.get("connection", "").lower() == "close":
            self.close()

    async def _read_chunks(self, reader: asyncio.StreamReader, answer: Answer) -> None:
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            answer.body += (await reader.readexactly(size + 2))[:size]
        await reader.readexactly(2)

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
