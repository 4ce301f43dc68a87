"""The last log line of a request tells how it ended."""

from __future__ import annotations

import logging
from typing import Any

import eventlet
import pytest

from dockreach import clock

from .standins import (
    Caller,
    Dialog,
    EndpointStandIn,
    Script,
    respond_fine,
    start_entry,
    status_of,
)
from .versioned_engines import VersionedEngine, start_fleet, take_up_stream

SILENCE_S = 0.3
"""For how long the endpoint is silent before the end, in seconds."""

LAST_EVENTS = (700, 701, 702, 703, 706)
"""Numbers of the events with which a request ends."""

TOLERANCE_MS = 150
"""Greatest excess of a reported time, in milliseconds: the machine may be busy."""


def send_one_event(dialog: Dialog) -> None:
    dialog.start_stream()
    dialog.chunk(b"id: 1\ndata: piece 1\n\n")
    eventlet.sleep(SILENCE_S)


def break_off(dialog: Dialog) -> None:
    send_one_event(dialog)
    dialog.reset()


def refuse(dialog: Dialog) -> None:
    dialog.respond(b"", status=b"503 Full", extra=b"Not-Executed: 1\r\n")


def respond_with_length(dialog: Dialog) -> None:
    dialog.respond(b"fine")


def end_with_last_chunk(dialog: Dialog) -> None:
    dialog.start_stream()
    dialog.chunk(b"data: 1\n\n")
    dialog.chunk(b"")


def end_by_closing(dialog: Dialog) -> None:
    dialog.send(b"HTTP/1.1 200 OK\r\nRequest-Id: " + dialog.rid + b"\r\n\r\nfine")
    dialog.sock.close()


def last_line(caplog: pytest.LogCaptureFixture, rid: str) -> dict[str, Any]:
    """Wait for the last line of a request and return its fields."""
    with eventlet.Timeout(2):
        while True:
            for record in caplog.records:
                fields = vars(record)
                if fields.get("rid") == rid and fields.get("event") in LAST_EVENTS:
                    return fields
            eventlet.sleep(0.01)


def test_a_response_that_its_endpoint_broke_off_names_the_endpoint(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO, "dockreach")
    caller = Caller(start_entry(EndpointStandIn(break_off)))
    caller.send("/draft/a", rid="r-broken", body=b"prompt")
    line = last_line(caplog, "r-broken")
    assert (line["event"], line["ended_by"], line["endpoint"]) == (703, "endpoint", "e-0")
    assert line["sent_bytes"] > len(b"id: 1\ndata: piece 1\n\n")
    assert 0 <= line["silent_ms"] - SILENCE_S * 1000 + 20 < TOLERANCE_MS


def test_a_caller_that_left_a_silent_endpoint_is_told_from_a_broken_response(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO, "dockreach")
    caller = Caller(start_entry(EndpointStandIn(send_one_event)))
    caller.send("/draft/a", rid="r-left", body=b"prompt")
    assert b"200 OK" in caller.read_available()
    eventlet.sleep(SILENCE_S / 2)
    caller.close()
    line = last_line(caplog, "r-left")
    assert (line["event"], line["ended_by"]) == (706, "caller")
    assert line["detail"] == "caller closed its connection"
    assert line["evidence"] == ["e-0:unknown"]
    assert line["silent_ms"] >= SILENCE_S * 500 - 20


def test_the_evidence_of_each_attempt_is_named(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO, "dockreach")
    dead, refusing, fine = (
        EndpointStandIn(script) for script in (refuse, refuse, respond_fine)
    )
    dead.close()
    entry = start_entry(dead, refusing, fine)
    # Costs decide the order: the dead one, then the refusing one, then the other.
    for row, plain_s in zip(entry.endpoints, (0.01, 0.1, 1.0), strict=True):
        row.plain_s = plain_s
    caller = Caller(entry)
    caller.send("/safe/a", rid="r-evidence")
    assert status_of(caller.read_response()) == 200
    line = last_line(caplog, "r-evidence")
    assert line["evidence"] == ["e-0:not_sent", "e-1:refused 503", "e-2:ran 200"]


def test_a_status_that_was_replaced_is_named_and_counted(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO, "dockreach")
    endpoint = EndpointStandIn(lambda dialog: dialog.respond(b"", status=b"503 Full"))
    entry = start_entry(endpoint)
    caller = Caller(entry)
    caller.send("/once/a", rid="r-unproven")
    assert status_of(caller.read_response()) == 502
    line = last_line(caplog, "r-unproven")
    assert (line["event"], line["reason"]) == (702, "engine_lost")
    assert line["ended_by"] == "endpoint"
    assert line["detail"] == "status 503 without proof that the request was not run"
    assert line["evidence"] == ["e-0:unknown 503"]
    assert entry.ctx.counters.statuses_replaced == {503: 1}


def test_the_last_line_of_a_resumed_stream_names_the_events_of_each_attempt(
    caplog: pytest.LogCaptureFixture,
) -> None:
    def send_rest(dialog: Dialog) -> None:
        dialog.start_stream()
        dialog.chunk(b"id: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n")
        dialog.chunk(b"")

    caplog.set_level(logging.INFO, "dockreach")
    scripts = [break_off, send_rest]

    def run_next(dialog: Dialog) -> None:
        scripts.pop(0)(dialog)

    endpoints = [EndpointStandIn(run_next) for _ in range(2)]
    caller = Caller(start_entry(*endpoints))
    caller.send("/brief/a", rid="r-resumed", body=b"prompt")
    caller.read_response()
    line = last_line(caplog, "r-resumed")
    assert [run.partition(":")[2] for run in line["runs"]] == ["1-1", "2-3"]
    assert line["runs"][1].partition(":")[0] == line["endpoint"]


@pytest.mark.parametrize(
    ("path", "script", "end"),
    [
        ("/once/a", respond_with_length, "length"),
        ("/draft/a", end_with_last_chunk, "chunk"),
        ("/once/a", end_by_closing, "closed, endpoint answers"),
        ("/draft/a", break_off, ""),
    ],
)
def test_the_last_line_names_how_the_end_of_the_response_was_known(
    path: str, script: Script, end: str, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO, "dockreach")
    caller = Caller(start_entry(EndpointStandIn(script)))
    caller.send(path, rid="r-end", body=b"prompt")
    assert last_line(caplog, "r-end")["end"] == end


def test_the_last_line_of_a_take_up_names_the_evidence_for_its_only_version(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO, "dockreach")
    (entry,) = start_fleet([VersionedEngine("e-1", "v1")], entries=1)
    take_up_stream(entry, "r-taken-up", stream_rid="r-0")
    line = last_line(caplog, "r-taken-up")
    assert line["version_evidence_by"] == "platform"
    assert 0 <= line["version_evidence_ms"] < 1000


def test_the_last_line_tells_the_list_by_which_the_endpoint_was_chosen(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO, "dockreach")
    entry = start_entry(EndpointStandIn(respond_fine))
    entry.record_endpoints_revision(25)
    entry.feeds.endpoints.complete_at = clock.now()
    eventlet.sleep(SILENCE_S)
    caller = Caller(entry)
    caller.send("/safe/a", rid="r-listed")
    assert status_of(caller.read_response()) == 200
    line = last_line(caplog, "r-listed")
    assert line["list_revision"] == 25
    assert line["list_confirmed_by"] == "platform"
    assert 0 <= line["list_age_ms"] - SILENCE_S * 1000 + 20 < TOLERANCE_MS
    assert line["waited_ms"] <= line["sent_ms"] <= line["held_ms"]


def test_a_request_that_was_never_sent_has_no_time_at_which_it_was(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO, "dockreach")
    caller = Caller(start_entry())
    caller.send("/safe/a", rid="r-unsent")
    assert status_of(caller.read_response()) == 503
    assert last_line(caplog, "r-unsent")["sent_ms"] is None
