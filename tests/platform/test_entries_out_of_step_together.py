"""Streams that callers take up at an entry that learns from another one out of step."""

from __future__ import annotations

import json
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import eventlet
import pytest

from tests.direct.standins import LOCAL, free_port, header_of, status_of
from tests.direct.versioned_engines import VersionedEngine

from .entry_process import send_until_read, start_entry_process, wait_until_listening
from .store_standin import ENDPOINT_RECORD, StoreStandIn
from .test_platform_settings import settings_fields, write_settings
from .test_take_ups import APPLY_DEADLINE_S, ROUTE, ROUTE_TIMEOUT_S

_NETWORK = LOCAL.rpartition(".")[0]

ADDRESSES = (f"{_NETWORK}.11", f"{_NETWORK}.12")

SILENT = f"{_NETWORK}.13"
"""Address of an entry that answers nobody."""

WATCH_S = 1.2 * APPLY_DEADLINE_S
"""Time after which an open watch was answered without changes, in seconds."""


class Member:
    """An entry process that has the platform's store for itself.

    Args:
        directory: Where its settings file is written.
        ip: Its address.
        ports: First and last port that entries use among themselves.
    """

    def __init__(self, directory: Path, ip: str, ports: list[int]) -> None:
        self.store = StoreStandIn()
        self._directory = directory
        self._ip = ip
        self._ports = ports
        self.port = free_port()
        self.process: Any = None

    def start(self) -> None:
        content = {
            **settings_fields(),
            "node_name": f"front-{self._ip}",
            "ip": self._ip,
            "listen_addrs": {
                "front": f"{LOCAL}:{self.port}",
                "ready": f"{self._ip}:{free_port()}",
            },
            "bootstrap": False,
            "seeds": [f"{ip}:1" for ip in (*ADDRESSES, SILENT)],
            "platform": {"address": self.store.address},
            "port_range": self._ports,
            "bounds": {"config_apply_ms": APPLY_DEADLINE_S * 1000},
        }
        self._directory.mkdir()
        self.process = start_entry_process(write_settings(self._directory, content))
        wait_until_listening(self.port)

    def take_up(self, rid: str) -> bytes:
        """Continue a stream that another entry has begun."""
        return send_until_read(
            self.port,
            b"POST /brief/a HTTP/1.1\r\nHost: tools.example\r\nRequest-Id: t-1\r\n"
            b"Request-Deadline-Ms: 1900\r\nContent-Length: 0\r\nConnection: close\r\n"
            b"Last-Event-Id: 1\r\nResumes: " + rid.encode() + b"\r\n\r\n",
        )

    def fall_silent(self) -> None:
        """Let the store answer this entry no call any more."""
        self.store.stall_open_connections()
        self.store.failure_mode = "silent"


def list_endpoint(members: list[Member], name: str, version: str) -> VersionedEngine:
    engine = VersionedEngine(name, version)
    for member in members:
        renew(member, engine, name, version, sequence=1)
    return engine


def renew(
    member: Member, engine: VersionedEngine, name: str, version: str, *, sequence: int
) -> None:
    """Write an endpoint's record, as endpoints do with each heartbeat."""
    record = {
        **ENDPOINT_RECORD,
        "service": "work",
        "address": engine.standin.address,
        "zone": "a",
        "version": version,
        "sequence": sequence,
    }
    member.store.put(f"servers/{name}", json.dumps(record).encode())


@pytest.fixture(name="members")
def _members(tmp_path: Path) -> Iterator[list[Member]]:
    ports = [free_port(), free_port()]
    members = [Member(tmp_path / ip, ip, ports) for ip in ADDRESSES]
    route = {**ROUTE, "timeout_ms": ROUTE_TIMEOUT_S * 1000}
    content = {"version": 1, "routes": [route], "services": [{"name": "work"}]}
    for member in members:
        member.store.put("op/config", json.dumps(content).encode())
    yield members
    for member in members:
        if member.process is not None:
            member.process.kill()
            member.process.communicate()


def start_in_step(members: list[Member]) -> VersionedEngine:
    """Start entries that know each other, while one version is listed."""
    engine = list_endpoint(members, "e-1", "v1")
    for member in members:
        member.start()
    eventlet.sleep(2 * APPLY_DEADLINE_S)
    for member in members:
        assert status_of(member.take_up("r-in-step")) == 200
    engine.standin.requests.clear()
    return engine


def refuses(member: Member, engine: VersionedEngine) -> None:
    response = member.take_up("r-0")
    assert status_of(response) == 503, response
    assert float(header_of(response, b"retry-after") or 0) > 0
    assert not engine.standin.requests


def test_a_response_that_waited_at_a_stopped_entry_is_no_evidence_at_others(
    members: list[Member],
) -> None:
    cut_off, stopped = members
    engine = start_in_step(members)
    stopped.store.calls.clear()
    while not any("servers" in call for call in stopped.store.calls):
        eventlet.sleep(0.01)
    stopped.process.send_signal(signal.SIGSTOP)
    cut_off.fall_silent()
    # The open watch is answered without changes, and the response waits in the socket.
    eventlet.sleep(WATCH_S)
    stopped.fall_silent()
    list_endpoint(members, "e-2", "v2")
    refuses(cut_off, engine)
    stopped.process.send_signal(signal.SIGCONT)
    for _ in range(8):
        eventlet.sleep(0.15)
        refuses(cut_off, engine)


def test_the_view_of_an_entry_that_is_cut_off_too_is_no_evidence(
    members: list[Member],
) -> None:
    cut_off, other = members
    engine = start_in_step(members)
    cut_off.fall_silent()
    # The other one still sees a heartbeat, so that its list is newer.
    renew(other, engine, "e-1", "v1", sequence=2)
    eventlet.sleep(0.1)
    other.fall_silent()
    list_endpoint(members, "e-2", "v2")
    for _ in range(16):
        refuses(cut_off, engine)
        eventlet.sleep(0.1)
