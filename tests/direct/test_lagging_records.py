"""Streams that go on at an endpoint whose record lags behind the process at its address."""

from __future__ import annotations

from dataclasses import dataclass

import eventlet
import pytest

from dockreach.direct.entry import Entry

from .standins import Dialog, EndpointStandIn, header_of, published, start_entry, status_of
from .versioned_engines import (
    STREAM_EVENTS,
    begin_stream,
    event,
    remaining_events,
    take_up_stream,
    versions_in,
    whole_stream,
)

REFUSALS = (
    b"Instance-Id: successor\r\n",
    b"Not-Executed: 1\r\n",
    b"",
)
"""What a response with status 421 says beside that."""


@dataclass(slots=True)
class Process:
    """A process that listens at the address of an endpoint.

    Attributes:
        name: Its id.
        version: Its software version.
        refusal: Headers of its response to a request that is meant for another process;
            ``None`` if it runs those, too.
        breaks_after: Number of events after which it breaks off each new stream; ``None``
            to send whole streams.
        is_named: Whether the heads of its responses name it.
    """

    name: str
    version: str
    refusal: bytes | None = b"Instance-Id: successor\r\n"
    breaks_after: int | None = None
    is_named: bool = False
    runs: int = 0

    def run(self, dialog: Dialog) -> None:
        """Treat one request."""
        expected = header_of(dialog.request, b"expected-instance") or b""
        if self.refusal is not None and expected.decode() != self.name:
            dialog.respond(b"", status=b"421 Misdirected Request", extra=self.refusal)
            return
        self.runs += 1
        name = f"Instance-Id: {self.name}\r\n" if self.is_named else ""
        dialog.start_stream(name.encode())
        is_new = header_of(dialog.request, b"last-event-id") is None
        for number in remaining_events(dialog):
            if is_new and number - 1 == self.breaks_after:
                eventlet.sleep(0.05)
                dialog.reset()
                return
            dialog.chunk(event(number, self.version))
            eventlet.sleep(0.02)
        dialog.chunk(b"")


def start(*processes: tuple[str, str, Process]) -> Entry:
    """Start an entry that lists endpoints.

    Args:
        processes: The id and the software version of each record, and the process that
            listens at its address.
    """
    entry = start_entry()
    records = [
        published(name, EndpointStandIn(process.run).address, software_version=version)
        for name, version, process in processes
    ]
    entry.replace_endpoints(records, 1)
    return entry


def begin_then_replace(entry: Entry, *processes: tuple[str, str, Process]) -> None:
    """Begin the stream ``r-1`` and break it off, then list other endpoints."""
    caller, _ = begin_stream(entry, "r-1")
    caller.close()
    records = [
        published(name, EndpointStandIn(process.run).address, software_version=version)
        for name, version, process in processes
    ]
    entry.replace_endpoints(records, 2)


@pytest.mark.parametrize("refusal", REFUSALS)
def test_a_take_up_does_not_go_on_at_the_process_that_has_the_address_now(
    refusal: bytes,
) -> None:
    entry = start(("e-0", "v1", Process("e-0", "v1")))
    successor = Process("successor", "v2", refusal)
    begin_then_replace(entry, ("e-1", "v1", successor), ("e-2", "v2", successor))
    response = take_up_stream(entry, "t-1", stream_rid="r-1")
    assert versions_in(response) == []
    assert status_of(response) in (502, 503)
    assert not successor.runs


def test_a_take_up_goes_on_at_its_version_although_one_of_the_records_lags() -> None:
    entry = start(("e-0", "v1", Process("e-0", "v1")))
    successor, sound = Process("successor", "v2"), Process("e-2", "v1")
    for number in range(4):
        begin_then_replace(entry, ("e-1", "v1", successor), ("e-2", "v1", sound))
        response = take_up_stream(entry, f"t-{number}", stream_rid="r-1")
        assert versions_in(response) == ["v1"] * (STREAM_EVENTS - 1)
    assert not successor.runs


@pytest.mark.parametrize("refusal", REFUSALS)
def test_a_broken_stream_does_not_go_on_at_the_process_that_has_the_address_now(
    refusal: bytes,
) -> None:
    first = Process("e-0", "v1", breaks_after=2)
    successor = Process("successor", "v2", refusal)
    entry = start(("e-0", "v1", first), ("e-1", "v1", successor))
    for number in range(6):
        assert set(versions_in(whole_stream(entry, f"r-{number}"))) <= {"v1"}
    assert first.runs
    assert not successor.runs


def test_a_take_up_does_not_go_on_at_a_process_that_names_itself_another_one() -> None:
    entry = start(("e-0", "v1", Process("e-0", "v1")))
    successor = Process("successor", "v2", refusal=None, is_named=True)
    begin_then_replace(entry, ("e-1", "v1", successor))
    response = take_up_stream(entry, "t-1", stream_rid="r-1")
    assert versions_in(response) == []
    assert status_of(response) in (502, 503)


def test_a_broken_stream_does_not_go_on_at_a_process_that_names_itself_another_one() -> (
    None
):
    first = Process("e-0", "v1", breaks_after=2)
    successor = Process("successor", "v2", refusal=None, is_named=True)
    entry = start(("e-0", "v1", first), ("e-1", "v1", successor))
    found = [set(versions_in(whole_stream(entry, f"r-{number}"))) for number in range(6)]
    assert all(len(versions) <= 1 for versions in found)
    assert first.runs


def test_the_version_of_a_stream_that_another_process_began_is_not_known() -> None:
    stranger = Process("stranger", "v2", refusal=None, is_named=True)
    sound = Process("e-1", "v1")
    entry = start(("e-0", "v1", stranger))
    begin_then_replace(entry, ("e-1", "v1", sound), ("e-2", "v2", Process("e-2", "v2")))
    response = take_up_stream(entry, "t-1", stream_rid="r-1")
    assert status_of(response) == 503
    assert not sound.runs
