"""Crowds of callers that do not behave, at one entry process with little memory."""

from __future__ import annotations

import json
import os
import resource
import subprocess
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress
from pathlib import Path

import eventlet
import pytest
from eventlet.green import socket

from dockreach.direct.digest import Address
from dockreach.direct.view import VIEW_PATH
from tests.direct.standins import (
    LOCAL,
    STALL_S,
    Dialog,
    EndpointStandIn,
    free_port,
    header_of,
    is_complete,
    respond_fine,
    status_of,
)

from .crowd_callers import Crowd, Script
from .entry_process import start_entry_process, wait_until_listening
from .store_standin import StoreStandIn, endpoint_record
from .test_platform_settings import settings_fields, write_settings

pytestmark = [pytest.mark.crowd, pytest.mark.xdist_group("crowd")]

MEMORY_MB = 100
"""Memory of the process, in MB of 10^6 bytes: the program takes some 45 at rest."""

MAX_FDS = 1600
"""File descriptors of the process."""

FEW_FDS = 400
"""File descriptors of a process at which a crowd has more connections."""

MAX_BODY_BYTES = 1 << 20
MAX_HEADER_BYTES = 16384
UNLIMITED_TIME_MS = 60_000
"""Header and idle timeouts of the configuration, in milliseconds: the crowd may hold what
it has for longer than a test runs."""

SMALL_BODY_BYTES = 65_536
ORDINARY_BODY_BYTES = 2048
CROWD_DEADLINE_MS = 20_000
ORDINARY_DEADLINE_MS = 10_000
"""Deadlines of the requests, in milliseconds. A try of an ordinary request that gets no
answer until then is the last one."""

ROUNDS = 3
"""How often the crowd comes."""

MAX_TRIES = 40
"""Tries of an ordinary request that is refused, or whose connection is closed."""

MAX_RETRY_DELAY_S = 0.5
"""Longest pause before the next try, in seconds."""

PIECE_BYTES = 8192
CHUNK_BYTES = 65_536
TINY_CHUNKS = 8000
MAX_SENT_BYTES = 4 << 20
"""Bytes that a caller sends at most of a body without end or far over the limit."""

RESPONSE_EVENTS = 64
EVENT = b"data: " + b"x" * 65_000 + b"\n\n"
"""Events of a large streamed response, 4 MB in all."""

BUFFERED_RESPONSE = b"x" * 900_000
"""A large response that is passed on whole."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise that the request was not run."""

PAYLOAD = b"p" * MAX_BODY_BYTES
ORDINARY, BULK, BRISK, LATER = "/calm/", "/bulk/", "/brisk/", "/later/"
STREAM, FILE, NOWHERE = "/stream/", "/file/", "/nowhere/"
BRISK_S = 0.2
"""Time after which the endpoint of a route answers, in seconds."""


def wait(_: Dialog) -> None:
    eventlet.sleep(STALL_S)


def respond_soon(dialog: Dialog) -> None:
    eventlet.sleep(BRISK_S)
    dialog.respond(b"fine")


def send_large_stream(dialog: Dialog) -> None:
    dialog.start_stream()
    for number in range(1, RESPONSE_EVENTS + 1):
        dialog.chunk(b"id: %d\n" % number + EVENT)
    dialog.chunk(b"")


def send_large_file(dialog: Dialog) -> None:
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n"
    dialog.send(head % (dialog.rid, len(BUFFERED_RESPONSE)))
    dialog.send(BUFFERED_RESPONSE)


ENDPOINTS: dict[str, Callable[[Dialog], None]] = {
    ORDINARY: respond_fine,
    BULK: wait,
    BRISK: respond_soon,
    STREAM: send_large_stream,
    FILE: send_large_file,
}
"""What the endpoint of each route does."""


class CrowdedSite:
    """A platform with one entry process, and an endpoint for each route.

    Args:
        directory: Where the settings file is written.
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self.store = StoreStandIn()
        self.endpoints = {
            prefix: EndpointStandIn(ENDPOINTS[prefix]) for prefix in ENDPOINTS
        }
        self.callers, self.ready, self.peers, self.metrics = (
            Address(LOCAL, free_port()) for _ in range(4)
        )
        self.max_fds = 0
        self.most_fds = 0
        self.first_peak_mb = 0.0
        self.process: subprocess.Popen[bytes] | None = None
        self.crowds: list[Crowd] = []
        self.publish(1, [*ENDPOINTS])
        for prefix, endpoint in self.endpoints.items():
            record = endpoint_record(
                service=prefix.strip("/"), address=endpoint.address, zone="a", slots=200
            )
            self.store.put(f"servers/{prefix.strip('/')}", record)

    def publish(self, version: int, prefixes: list[str]) -> None:
        """Publish a configuration with some routes; later ones lead to a known service."""
        routes = [
            {
                "name": prefix.strip("/"),
                "host": "tools.example",
                "path_prefix": prefix,
                "type": "streaming" if prefix == STREAM else "unsafe",
                "timeout_ms": UNLIMITED_TIME_MS,
                "max_attempts": 1,
                "service": prefix.strip("/")
                if prefix in ENDPOINTS
                else ORDINARY.strip("/"),
            }
            for prefix in prefixes
        ]
        services = [
            {"name": prefix.strip("/"), "max_connections": 200} for prefix in ENDPOINTS
        ]
        limits = {
            "max_header_bytes": MAX_HEADER_BYTES,
            "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": UNLIMITED_TIME_MS,
            "idle_timeout_ms": UNLIMITED_TIME_MS,
        }
        content = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": limits,
        }
        self.store.put("op/config", json.dumps(content).encode())

    def start(self, max_fds: int = MAX_FDS) -> None:
        """Start the process and wait until it serves."""
        self.max_fds = max_fds
        content = {
            **settings_fields(),
            "ip": LOCAL,
            "listen_addrs": {"front": _text(self.callers), "ready": _text(self.ready)},
            "port_range": [self.peers.port, self.peers.port],
            "seeds": [],
            "platform": {"address": self.store.address},
            "bounds": {"config_apply_ms": 1000},
            "limits": {"memory_mb": MEMORY_MB, "max_fds": max_fds, "cpu_share": 1.0},
        }
        path = write_settings(self._directory, content)
        with (self._directory / "log").open("wb") as log:
            options = ("--metrics", f"{self.metrics.port}/metrics")
            self.process = start_entry_process(path, *options, log=log)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (max_fds, max_fds))
        wait_until_listening(self.callers.port)
        assert self.is_served(ORDINARY)
        assert self.is_answered(self.ready, "/ready")
        self.first_peak_mb = self.peak_mb

    def gather(
        self,
        size: int,
        script: Script,
        address: Address | None = None,
        *,
        reads: bool = True,
    ) -> Crowd:
        """Return a crowd that has not come yet; at the port for callers, or another."""
        crowd = Crowd(address or self.callers, size, script, reads=reads)
        self.crowds.append(crowd)
        return crowd

    @property
    def peak_mb(self) -> float:
        """The most memory that the process had, in MB of 10^6 bytes; 0 if it has ended."""
        assert self.process is not None
        with suppress(OSError):
            text = Path(f"/proc/{self.process.pid}/status").read_text()
            for line in text.splitlines():
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def count_fds(self) -> None:
        """Record how many file descriptors the process has open."""
        assert self.process is not None
        with suppress(OSError):
            found = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            self.most_fds = max(self.most_fds, found)

    def is_served(self, prefix: str) -> bool:
        """Return whether an ordinary request is served in the end."""
        return is_answered(self.callers, ordinary_request(prefix))

    def is_answered(self, address: Address, target: str) -> bool:
        """Return whether a page is answered with 200 in the end."""
        return is_answered(address, page_request(target), retried=(503,))

    def broken_promises(self, crowd: Crowd) -> list[bytes]:
        """Return the requests that ran although a refusal promised that they don't."""
        ran = {
            header_of(request, b"request-id")
            for endpoint in self.endpoints.values()
            for request in endpoint.requests
        }
        refused = [
            rid for rid, status in crowd.statuses.items() if status in NOT_RUN_STATUSES
        ]
        return [rid for rid in refused if rid in ran]

    def end(self) -> None:
        """End the process."""
        if self.process is not None:
            self.process.kill()
            self.process.communicate()


@pytest.fixture(name="crowded")
def _crowded(tmp_path: Path) -> Iterator[CrowdedSite]:
    site = CrowdedSite(tmp_path)
    yield site
    for crowd in site.crowds:
        crowd.leave()
    site.end()


def _text(address: Address) -> str:
    return f"{address.ip}:{address.port}"


def head(rid: bytes, prefix: str = BULK, *fields: bytes) -> bytes:
    """Return the head of a crowd's request, with some fields before its end."""
    lines = [
        b"POST %sa HTTP/1.1" % prefix.encode(),
        b"Host: tools.example",
        b"Request-Id: " + rid,
        b"Request-Deadline-Ms: %d" % CROWD_DEADLINE_MS,
        *fields,
    ]
    return b"\r\n".join([*lines, b"", b""])


def with_length(rid: bytes, size: int, prefix: str = BULK) -> bytes:
    return head(rid, prefix, b"Content-Length: %d" % size)


def chunked(rid: bytes) -> bytes:
    return head(rid, BULK, b"Transfer-Encoding: chunked")


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def ordinary_request(prefix: str) -> bytes:
    return (
        f"POST {prefix}a HTTP/1.1\r\nHost: tools.example\r\nRequest-Id: ordinary\r\n"
        f"Request-Deadline-Ms: {ORDINARY_DEADLINE_MS}\r\nConnection: close\r\n"
        f"Content-Length: {ORDINARY_BODY_BYTES}\r\n\r\n"
    ).encode() + b"o" * ORDINARY_BODY_BYTES


def page_request(target: str) -> bytes:
    return f"GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode()


def is_answered(address: Address, request: bytes, *, retried: tuple[int, ...] = ()) -> bool:
    """Send a request until it is answered with 200; return whether it is in the end.

    Args:
        address: Where it is sent.
        request: The request.
        retried: Statuses after which it is sent again, besides 503 with `Retry-After`.
    """
    for _ in range(MAX_TRIES):
        try:
            response = exchange(address, request)
        except eventlet.Timeout:
            return False
        delay_s = MAX_RETRY_DELAY_S
        if response:
            status = status_of(response)
            retry_after = header_of(response, b"retry-after")
            if status == 200:
                return True
            if status not in retried and not (status == 503 and retry_after):
                return False
            delay_s = min(float(retry_after or delay_s), delay_s)
        eventlet.sleep(delay_s)
    return False


def exchange(address: Address, request: bytes) -> bytes:
    """Return the whole response to a request; empty if the connection ends before.

    Raises:
        eventlet.Timeout: The deadline has passed without an answer.
    """
    sock = socket.socket()
    response = b""
    try:
        with eventlet.Timeout(ORDINARY_DEADLINE_MS / 1000), suppress(OSError):
            sock.connect((address.ip, address.port))
            sock.sendall(request)
            while data := sock.recv(65536):
                response += data
    finally:
        sock.close()
    return response if is_complete(response) else b""


# What the callers of a crowd send.


def whole_large_body(rid: bytes) -> Iterable[bytes]:
    yield with_length(rid, MAX_BODY_BYTES) + PAYLOAD


def whole_large_body_answered_soon(rid: bytes) -> Iterable[bytes]:
    yield with_length(rid, MAX_BODY_BYTES, BRISK) + PAYLOAD


def large_body_one_byte_short(rid: bytes) -> Iterable[bytes]:
    yield with_length(rid, MAX_BODY_BYTES) + PAYLOAD[1:]


def large_body_in_pieces_one_byte_short(rid: bytes) -> Iterable[bytes]:
    yield with_length(rid, MAX_BODY_BYTES)
    yield from pieces(MAX_BODY_BYTES - 1)


def small_body_one_byte_short(rid: bytes) -> Iterable[bytes]:
    yield with_length(rid, SMALL_BODY_BYTES) + PAYLOAD[: SMALL_BODY_BYTES - 1]


def large_chunks_without_the_last(rid: bytes) -> Iterable[bytes]:
    yield chunked(rid)
    for _ in range(MAX_BODY_BYTES // CHUNK_BYTES):
        yield chunk(PAYLOAD[:CHUNK_BYTES])


def tiny_chunks_without_the_last(rid: bytes) -> Iterable[bytes]:
    yield chunked(rid)
    for _ in range(TINY_CHUNKS // 1000):
        yield chunk(b"x") * 1000


def body_announced_far_over_the_limit(rid: bytes) -> Iterable[bytes]:
    yield with_length(rid, 64 * MAX_BODY_BYTES)
    yield from pieces(MAX_SENT_BYTES)


def chunks_far_over_the_limit(rid: bytes) -> Iterable[bytes]:
    yield chunked(rid)
    for _ in range(MAX_SENT_BYTES // CHUNK_BYTES):
        yield chunk(PAYLOAD[:CHUNK_BYTES])


def unfinished_head(rid: bytes) -> Iterable[bytes]:
    start = head(rid)[:-2]
    yield start + b"X-Long: " + b"x" * (MAX_HEADER_BYTES - len(start) - 16)


def many_lines_and_an_unfinished_body(rid: bytes) -> Iterable[bytes]:
    yield head(rid, BULK, *[b"a:"] * 900, b"Content-Length: 100") + b"xx"


def small_request_with_the_next_one_behind(rid: bytes) -> Iterable[bytes]:
    yield with_length(rid, ORDINARY_BODY_BYTES) + PAYLOAD[:ORDINARY_BODY_BYTES]
    yield with_length(rid + b"-next", MAX_BODY_BYTES)
    yield from pieces(MAX_BODY_BYTES - 1)


def request_of_70_kb_with_the_next_one_behind(rid: bytes) -> Iterable[bytes]:
    yield with_length(rid, 70_000) + PAYLOAD[:70_000]
    yield with_length(rid + b"-next", MAX_BODY_BYTES)
    yield from pieces(MAX_BODY_BYTES - 1)


def request_and_then_nothing(rid: bytes) -> Iterable[bytes]:
    yield with_length(rid, ORDINARY_BODY_BYTES, ORDINARY) + PAYLOAD[:ORDINARY_BODY_BYTES]


def denied_request_of_many_lines_and_then_nothing(rid: bytes) -> Iterable[bytes]:
    yield head(rid, NOWHERE, *[b"a:"] * 900, b"Content-Length: 0")


def nothing(_: bytes) -> Iterable[bytes]:
    return ()


def large_stream(rid: bytes) -> Iterable[bytes]:
    yield with_length(rid, 0, STREAM)


def large_file(rid: bytes) -> Iterable[bytes]:
    yield with_length(rid, 0, FILE)


def pieces(size: int) -> Iterable[bytes]:
    """Return a payload in pieces."""
    for start in range(0, size, PIECE_BYTES):
        yield PAYLOAD[: min(PIECE_BYTES, size - start)]


def faults_of(site: CrowdedSite, crowd: Crowd) -> list[str]:
    """Return what does not hold while a crowd is there, and print the figures."""
    site.count_fds()
    is_served = site.is_served(ORDINARY)
    is_ready = site.is_answered(site.ready, "/ready")
    site.count_fds()
    assert site.process is not None
    end = site.process.poll()
    peak_mb, broken = site.peak_mb, site.broken_promises(crowd)
    figures = (
        f"peak {site.first_peak_mb:.0f} to {peak_mb:.0f} of {MEMORY_MB} MB, "
        f"{site.most_fds} of {site.max_fds} descriptors, {len(crowd)} connections "
        f"stay, {crowd.closed} closed"
    )
    print(figures)
    checks = {
        f"the process ended with {end}": end is None,
        "an ordinary request was not served": is_served,
        "the process was not ready": is_ready,
        f"too much memory ({figures})": peak_mb <= MEMORY_MB,
        f"too many descriptors ({figures})": site.most_fds <= site.max_fds,
        f"requests ran that were refused as not run: {broken[:3]}": not broken,
    }
    return [fault for fault, holds in checks.items() if not holds]


@pytest.mark.parametrize(
    ("script", "size"),
    [
        (whole_large_body, 120),
        (whole_large_body_answered_soon, 120),
        (large_body_one_byte_short, 120),
        (large_body_in_pieces_one_byte_short, 120),
        (small_body_one_byte_short, 1200),
        (large_chunks_without_the_last, 120),
        (tiny_chunks_without_the_last, 100),
        (body_announced_far_over_the_limit, 120),
        (chunks_far_over_the_limit, 60),
        (unfinished_head, 1200),
        (many_lines_and_an_unfinished_body, 500),
        (small_request_with_the_next_one_behind, 120),
        (request_of_70_kb_with_the_next_one_behind, 120),
    ],
)
def test_a_crowd_of_requests_does_not_end_the_process_or_lock_others_out(
    crowded: CrowdedSite, script: Script, size: int
) -> None:
    crowded.start()
    crowd = crowded.gather(size, script)
    crowd.press(ROUNDS)
    assert not faults_of(crowded, crowd)


@pytest.mark.parametrize(
    ("script", "size"),
    [
        (request_and_then_nothing, 1200),
        (denied_request_of_many_lines_and_then_nothing, 500),
    ],
)
def test_connections_that_rest_after_an_answer_do_not_use_up_the_memory(
    crowded: CrowdedSite, script: Script, size: int
) -> None:
    crowded.start()
    crowd = crowded.gather(size, script)
    crowd.press(1)
    assert not faults_of(crowded, crowd)


@pytest.mark.parametrize(("script", "size"), [(large_stream, 120), (large_file, 180)])
def test_callers_that_read_nothing_of_large_responses_do_not_use_up_the_memory(
    crowded: CrowdedSite, script: Script, size: int
) -> None:
    crowded.start()
    crowd = crowded.gather(size, script, reads=False)
    crowd.press(ROUNDS)
    assert not faults_of(crowded, crowd)


def test_connections_that_send_nothing_do_not_use_up_the_descriptors(
    crowded: CrowdedSite,
) -> None:
    crowded.start(FEW_FDS)
    crowd = crowded.gather(600, nothing)
    crowd.press(ROUNDS)
    assert not faults_of(crowded, crowd)
    crowded.store.cut_open_connections()
    crowded.publish(2, [*ENDPOINTS, LATER])
    assert is_answered(crowded.callers, ordinary_request(LATER), retried=(404,))


@pytest.mark.parametrize(
    ("script", "size", "max_fds"),
    [
        (large_body_one_byte_short, 120, MAX_FDS),
        (unfinished_head, 1200, MAX_FDS),
        (nothing, 600, FEW_FDS),
    ],
)
@pytest.mark.parametrize("port", ["ready", "peers", "metrics"])
def test_a_crowd_at_another_port_does_not_end_the_process_or_lock_others_out(
    crowded: CrowdedSite, port: str, script: Script, size: int, max_fds: int
) -> None:
    crowded.start(max_fds)
    crowd = crowded.gather(size, script, getattr(crowded, port))
    crowd.press(ROUNDS)
    faults = faults_of(crowded, crowd)
    for address, target in ((crowded.peers, VIEW_PATH), (crowded.metrics, "/metrics")):
        path = target if isinstance(target, str) else target.decode()
        if not crowded.is_answered(address, path):
            faults.append(f"{path} was not answered")
    assert not faults


@pytest.mark.parametrize("is_chunked", [False, True])
def test_one_request_of_the_largest_size_is_served_in_calm(
    crowded: CrowdedSite, is_chunked: bool
) -> None:
    crowded.start()
    if is_chunked:
        fields, body = b"Transfer-Encoding: chunked", chunk(PAYLOAD) + b"0\r\n\r\n"
    else:
        fields, body = b"Content-Length: %d" % MAX_BODY_BYTES, PAYLOAD
    request = head(b"large", ORDINARY, b"Connection: close", fields) + body
    response = exchange(crowded.callers, request)
    assert status_of(response) == 200
    received = crowded.endpoints[ORDINARY].requests[-1]
    assert received.partition(b"\r\n\r\n")[2] == PAYLOAD
    assert crowded.peak_mb <= MEMORY_MB
