"""Streams that callers take up at an entry process that has just started."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import eventlet
import pytest

from dockreach.direct.stream_versions import MIN_STREAM_AGE_S
from tests.direct.standins import free_port, header_of, status_of
from tests.direct.versioned_engines import STREAM_EVENTS, VersionedEngine, versions_in

from .entry_process import send_until_read, start_entry_process, wait_until_listening
from .store_standin import ENDPOINT_RECORD, StoreStandIn
from .test_platform_settings import write_settings
from .test_startup import fields_with_free_ports

ROUTE_TIMEOUT_S = 2.0
APPLY_DEADLINE_S = 1.0

LONGEST_REFUSAL_S = max(ROUTE_TIMEOUT_S, MIN_STREAM_AGE_S) + 3 * APPLY_DEADLINE_S
"""Time after which a stream that began before the start can run no more."""

ROUTE = {
    "name": "brief",
    "host": "tools.example",
    "path_prefix": "/brief/",
    "type": "streaming",
    "resumable": True,
    "max_attempts": 2,
    "service": "work",
}


class Site:
    """A platform whose endpoints change while no entry runs.

    Args:
        directory: Where the settings file is written.
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self.store = StoreStandIn()
        self.configure(version=1, timeout_s=ROUTE_TIMEOUT_S)
        self.processes: list[Any] = []
        self.port = 0

    def configure(self, *, version: int, timeout_s: float) -> None:
        """Publish a configuration whose route has a timeout, in seconds."""
        route = {**ROUTE, "timeout_ms": timeout_s * 1000}
        content = {"version": version, "routes": [route], "services": [{"name": "work"}]}
        self.store.put("op/config", json.dumps(content).encode())

    def list_endpoint(self, name: str, version: str) -> VersionedEngine:
        """List an endpoint; one of the same name is replaced."""
        engine = VersionedEngine(name, version)
        record = {
            **ENDPOINT_RECORD,
            "service": "work",
            "address": engine.standin.address,
            "zone": "a",
            "version": version,
        }
        self.store.put(f"servers/{name}", json.dumps(record).encode())
        return engine

    def start_entry(self, *, bootstrap: bool) -> None:
        content = {
            **fields_with_free_ports(),
            "bootstrap": bootstrap,
            "platform": {"address": self.store.address},
            "port_range": [free_port(), free_port()],
            "bounds": {"config_apply_ms": APPLY_DEADLINE_S * 1000},
        }
        path = write_settings(self._directory, content)
        self.processes.append(start_entry_process(path))
        addresses = content["listen_addrs"]
        assert isinstance(addresses, dict)
        self.port = int(addresses["front"].rpartition(":")[2])
        wait_until_listening(self.port)

    def send(self, extra: str = "") -> bytes:
        """Send a request for a stream; return the response."""
        return send_until_read(
            self.port,
            b"POST /brief/a HTTP/1.1\r\nHost: tools.example\r\nRequest-Id: t-1\r\n"
            b"Request-Deadline-Ms: 1900\r\nContent-Length: 0\r\n"
            b"Connection: close\r\n" + extra.encode() + b"\r\n",
        )

    def take_up(self, rid: str = "r-0") -> bytes:
        """Continue a stream that began before the entry was started."""
        return self.send(f"Last-Event-Id: 1\r\nResumes: {rid}\r\n")


def replace_by_another_endpoint(site: Site) -> VersionedEngine:
    site.list_endpoint("e-1", "v1")
    site.store.delete("servers/e-1")
    return site.list_endpoint("e-2", "v2")


def restart_in_place(site: Site) -> VersionedEngine:
    site.list_endpoint("e-1", "v1")
    return site.list_endpoint("e-1", "v2")


@pytest.mark.parametrize("bootstrap", [True, False])
@pytest.mark.parametrize("is_forgotten", [True, False])
@pytest.mark.parametrize("replace", [replace_by_another_endpoint, restart_in_place])
def test_a_stream_is_not_joined_from_two_versions_after_all_entries_were_killed(
    site: Site,
    replace: Callable[[Site], VersionedEngine],
    is_forgotten: bool,
    bootstrap: bool,
) -> None:
    engine = replace(site)
    if is_forgotten:
        site.store.compact_history()
    site.start_entry(bootstrap=bootstrap)
    for _ in range(3):
        response = site.take_up()
        assert status_of(response) == 503
        assert float(header_of(response, b"retry-after") or 0) > 0
        assert not engine.standin.requests
        eventlet.sleep(0.3)
    assert versions_in(site.send()) == ["v2"] * STREAM_EVENTS


def test_streams_go_on_after_all_entries_were_killed_if_one_version_served(
    site: Site,
) -> None:
    site.list_endpoint("e-1", "v1")
    site.list_endpoint("e-2", "v1")
    site.store.delete("servers/e-1")
    site.start_entry(bootstrap=False)
    assert versions_in(site.take_up()) == ["v1"] * (STREAM_EVENTS - 1)


def test_streams_are_refused_only_while_an_unknown_version_may_have_begun_them(
    site: Site,
) -> None:
    site.list_endpoint("e-1", "v1")
    site.store.compact_history()
    site.start_entry(bootstrap=False)
    started_at = time.monotonic()
    assert status_of(site.take_up()) == 503
    taken_up = 0
    while status_of(response := site.take_up(f"r-{taken_up}")) != 200:
        assert time.monotonic() - started_at < LONGEST_REFUSAL_S
        taken_up += 1
        eventlet.sleep(0.2)
    assert versions_in(response) == ["v1"] * (STREAM_EVENTS - 1)


def test_a_caller_that_keeps_coming_back_does_not_get_another_version_at_last(
    site: Site,
) -> None:
    engine = replace_by_another_endpoint(site)
    site.store.compact_history()
    site.start_entry(bootstrap=False)
    until = time.monotonic() + LONGEST_REFUSAL_S + 1.0
    while time.monotonic() < until:
        response = site.take_up()
        assert status_of(response) == 503, versions_in(response)
        eventlet.sleep(float(header_of(response, b"retry-after") or 0))
    assert not engine.standin.requests


def test_a_shorter_timeout_of_the_route_does_not_make_streams_of_before_younger(
    site: Site,
) -> None:
    engine = replace_by_another_endpoint(site)
    site.store.compact_history()
    site.configure(version=2, timeout_s=60.0)
    site.start_entry(bootstrap=False)
    assert status_of(site.take_up()) == 503
    site.configure(version=3, timeout_s=0.4)
    until = time.monotonic() + 0.4 + 4 * APPLY_DEADLINE_S
    while time.monotonic() < until:
        response = site.take_up()
        assert status_of(response) == 503, versions_in(response)
        eventlet.sleep(0.2)
    assert not engine.standin.requests


def test_streams_go_on_after_an_outage_of_the_store_in_which_nothing_changed(
    site: Site,
) -> None:
    site.list_endpoint("e-1", "v1")
    site.start_entry(bootstrap=False)
    assert status_of(site.take_up()) == 200
    site.store.failure_mode = 503
    site.store.end_watches()
    eventlet.sleep(3 * APPLY_DEADLINE_S)
    site.store.failure_mode = ""
    # The watch goes on from the revision of before, and would tell of every change.
    eventlet.sleep(APPLY_DEADLINE_S)
    response = site.send("Last-Event-Id: 1\r\nResumes: r-other\r\n")
    assert status_of(response) == 200
    assert versions_in(response) == ["v1"] * (STREAM_EVENTS - 1)
