"""Endpoints whose process ends in mid-response, or that close connections and live on."""

from __future__ import annotations

import logging
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from socket import MSG_PEEK, SHUT_WR, SO_REUSEADDR, SOL_SOCKET
from types import SimpleNamespace
from typing import Any, NamedTuple, cast

import eventlet
import pytest
from eventlet.event import Event as Signal

from dockreach import clock
from dockreach.direct.attempt import NO_PLACEMENT
from dockreach.direct.endpoint_connection import EndpointConnection
from dockreach.direct.endpoints import EndpointRow
from dockreach.direct.entry import Entry
from dockreach.direct.http1 import ConnectError, ResponseError, SilentError, receive
from dockreach.direct.liveness import (
    HEALTH_TIMEOUT_S,
    SETTLE_S,
    STREAM_SETTLE_S,
    Liveness,
    LivenessCheck,
)
from dockreach.direct.upstream_request import PlainResponse, UpstreamRequest

from .standins import (
    LOCAL,
    Caller,
    Dialog,
    EndpointStandIn,
    Script,
    accept_all,
    body_of,
    event,
    fetch_page,
    header_of,
    is_complete,
    published,
    reset,
    respond_fine,
    revision,
    start_entry,
    status_of,
    wake_waiting_greenlets,
)

STREAM = b"Content-Type: text/event-stream\r\n"
WHOLE_TIME_S = 0.3
"""Longest time for a whole response of an endpoint that lives, in seconds."""

STREAMS = 10


class Answer(NamedTuple):
    """What a caller got; reset if its connection was."""

    status: int
    body: bytes
    is_reset: bool = False
    has_end: bool = True


EVENTS = (event(1), event(2), event(3))
WHOLE_STREAM = Answer(200, b"".join(EVENTS))
BEGUN_STREAM = Answer(200, event(1) + event(2), is_reset=True, has_end=False)


def start_unframed(dialog: Dialog, extra: bytes = b"", version: bytes = b"1.1") -> None:
    """Send the head of a response that has no length and no chunks."""
    dialog.send(
        b"HTTP/" + version + b" 200 OK\r\nRequest-Id: " + dialog.rid + b"\r\nSeal: s\r\n"
        b"" + extra + b"\r\n"
    )


def begin_plain(dialog: Dialog) -> None:
    start_unframed(dialog)
    dialog.send(b"first half, ")


def begin_plain_as_http_1_0(dialog: Dialog) -> None:
    start_unframed(dialog, b"Connection: close\r\n", b"1.0")
    dialog.send(b"first half, ")


def begin_stream(dialog: Dialog) -> None:
    start_unframed(dialog, STREAM)
    dialog.send(event(1) + event(2))


def close_after_plain(dialog: Dialog) -> None:
    start_unframed(dialog)
    dialog.send(b"fine")
    dialog.sock.close()


def close_after_stream(dialog: Dialog) -> None:
    start_unframed(dialog, STREAM)
    for piece in EVENTS:
        dialog.send(piece)
    dialog.sock.close()


def half_close_after_stream(dialog: Dialog) -> None:
    start_unframed(dialog, STREAM)
    for piece in EVENTS:
        dialog.send(piece)
    dialog.sock.shutdown(SHUT_WR)


def send_remaining_event(dialog: Dialog) -> None:
    dialog.start_stream()
    dialog.chunk(event(3))
    dialog.chunk(b"")


class ProcessStandIn(EndpointStandIn):
    """An endpoint whose process may end: nothing unread lies on its connections.

    Attributes:
        further: What becomes of connections after the first one; served if `None`.
        further_count: How many there were.
    """

    def __init__(self, *scripts: Script) -> None:
        super().__init__(*scripts)
        self.further: Script | None = None
        self.further_count = 0

    def _serve(self, sock: Any) -> None:  # noqa: ANN401
        if self.dialogs:
            self.further_count += 1
            if self.further is not None:
                self.further(Dialog(sock))
                return
        super()._serve(sock)

    def close_connections(self) -> None:
        """Close all connections in order."""
        for dialog in self.dialogs:
            wake_waiting_greenlets(dialog.sock)
            dialog.sock.close()

    def exit(self) -> None:
        """Close the listener and all connections, as the kernel does for a process."""
        self.close()
        self.close_connections()


def wait_for_request(endpoint: EndpointStandIn, count: int = 1) -> None:
    """Wait until an endpoint has begun to respond to some requests."""
    with eventlet.Timeout(2):
        while len(endpoint.requests) < count:
            eventlet.sleep(0.001)


def wait_for_event(caller: Caller, number: int) -> None:
    """Wait until a caller has received an event, which stays to be read."""
    with eventlet.Timeout(2):
        while event(number) not in caller.sock.recv(65536, MSG_PEEK):
            eventlet.sleep(0.001)


def read_answer(caller: Caller) -> Answer:
    """Read until the end of the response, or of the connection."""
    data = b""
    is_reset = False
    try:
        while not is_complete(data) and (received := receive(caller.sock)):
            data += received
    except ConnectionResetError:
        is_reset = True
    return Answer(status_of(data), body_of(data), is_reset, is_complete(data))


def last_line(caplog: pytest.LogCaptureFixture, number: int) -> dict[str, Any]:
    """Return the fields of the latest log line of an event."""
    lines = [vars(record) for record in caplog.records]
    return [line for line in lines if line.get("event") == number][-1]


def request_during_exit(
    path: str, script: Script, *others: EndpointStandIn
) -> tuple[Entry, Answer]:
    """Send a request whose endpoint's process ends in mid-response.

    Args:
        path: Path of the request.
        script: What the endpoint sends before its end.
        others: Endpoints that serve the same, listed only once the request runs.
    """
    first = ProcessStandIn(script)
    entry = start_entry(first)
    caller = Caller(entry)
    caller.send(path, body=b"prompt")
    wait_for_request(first)
    if script is begin_stream:
        wait_for_event(caller, 2)
    for number, other in enumerate(others, 1):
        entry.apply_endpoint(published(f"e-{number}", other.address))
    first.exit()
    return entry, read_answer(caller)


@pytest.mark.parametrize("script", [begin_plain, begin_plain_as_http_1_0])
def test_a_plain_body_whose_process_ended_is_not_passed_on(
    script: Script, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO, "dockreach")
    entry, answer = request_during_exit("/once/a", script)
    assert answer.status == 502
    assert b"first half" not in answer.body
    assert "ECONNREFUSED" in last_line(caplog, 704)["detail"]
    counters = entry.ctx.counters
    assert (counters.end_checks, counters.unproven_ends) == (1, 1)


def test_a_plain_body_whose_process_ended_is_fetched_from_another_endpoint() -> None:
    other = EndpointStandIn(respond_fine)
    _, answer = request_during_exit("/safe/a", begin_plain, other)
    assert answer == Answer(200, b"fine")
    assert len(other.requests) == 1


def test_a_stream_whose_process_ended_between_two_events_is_cut() -> None:
    other = EndpointStandIn(send_remaining_event)
    _, answer = request_during_exit("/draft/a", begin_stream, other)
    assert answer == BEGUN_STREAM
    assert other.requests == []


def test_a_stream_whose_process_ended_between_two_events_is_resumed() -> None:
    other = EndpointStandIn(send_remaining_event)
    _, answer = request_during_exit("/brief/a", begin_stream, other)
    assert answer == WHOLE_STREAM
    assert header_of(other.requests[0], b"last-event-id") == b"2"


def test_a_caller_with_http_1_0_sees_that_a_stream_was_cut() -> None:
    endpoint = ProcessStandIn(begin_stream)
    caller = Caller(start_entry(endpoint))
    caller.sock.sendall(
        b"POST /draft/a HTTP/1.0\r\nHost: tools.example\r\nRequest-Id: r-1\r\n"
        b"X-Api-Key: key-1\r\nContent-Length: 0\r\n\r\n"
    )
    wait_for_event(caller, 2)
    endpoint.exit()
    assert read_answer(caller) == BEGUN_STREAM


PROCESS = """
import socket, sys, time
listener = socket.create_server((sys.argv[1], 0))
print(listener.getsockname()[1], flush=True)
conn, _ = listener.accept()
head = b""
while b"\\r\\n\\r\\nprompt" not in head:
    head += conn.recv(65536)
rid = head.lower().partition(b"request-id:")[2].split(b"\\r\\n")[0].strip()
conn.sendall(
    b"HTTP/1.1 200 OK\\r\\nContent-Type: text/event-stream\\r\\nRequest-Id: " + rid
    + b"\\r\\n\\r\\nid: 1\\ndata: piece 1\\n\\nid: 2\\ndata: piece 2\\n\\n"
)
time.sleep(60)
"""
"""An endpoint that stops between the second and the third event of a stream."""


@contextmanager
def running_process() -> Iterator[tuple[subprocess.Popen[bytes], str]]:
    """Run an endpoint as a process of its own; yield it and its address."""
    with subprocess.Popen(  # noqa: S603
        [sys.executable, "-c", PROCESS, LOCAL], stdout=subprocess.PIPE
    ) as process:
        try:
            assert process.stdout is not None
            yield process, f"{LOCAL}:{process.stdout.readline().decode().strip()}"
        finally:
            process.kill()


@pytest.mark.parametrize(
    ("path", "answer"), [("/draft/a", BEGUN_STREAM), ("/brief/a", WHOLE_STREAM)]
)
def test_a_stream_of_a_process_that_is_killed_is_not_whole(
    path: str, answer: Answer
) -> None:
    other = EndpointStandIn(send_remaining_event)
    with running_process() as (process, address):
        entry = start_entry()
        entry.apply_endpoint(published("e-0", address))
        caller = Caller(entry)
        caller.send(path, body=b"prompt")
        wait_for_event(caller, 2)
        entry.apply_endpoint(published("e-1", other.address))
        process.kill()
        process.wait()
        assert read_answer(caller) == answer


@pytest.mark.parametrize(
    ("path", "script", "answer"),
    [
        ("/once/a", close_after_plain, Answer(200, b"fine")),
        ("/safe/a", close_after_plain, Answer(200, b"fine")),
        ("/draft/a", close_after_stream, WHOLE_STREAM),
        ("/brief/a", close_after_stream, WHOLE_STREAM),
        ("/draft/a", half_close_after_stream, WHOLE_STREAM),
    ],
)
def test_an_endpoint_that_closes_after_each_response_costs_no_further_connection(
    path: str, script: Script, answer: Answer
) -> None:
    endpoint = EndpointStandIn(script)
    entry = start_entry(endpoint)
    requests = 3
    for number in range(requests):
        caller = Caller(entry)
        began_at = clock.now()
        caller.send(path, rid=f"r-{number}", body=b"prompt")
        assert read_answer(caller) == answer
        assert clock.now() - began_at < WHOLE_TIME_S
        assert endpoint.dialogs[number].rid == f"r-{number}".encode()
    assert len(endpoint.requests) == requests
    assert len(endpoint.dialogs) == requests + 1
    assert entry.ctx.counters.unproven_ends == 0


def test_events_of_a_stream_without_a_length_do_not_wait_for_its_end() -> None:
    is_first_read = Signal()

    def send_second_event_when_first_is_read(dialog: Dialog) -> None:
        start_unframed(dialog, STREAM)
        dialog.send(event(1))
        is_first_read.wait()
        dialog.send(event(2))
        dialog.sock.close()

    endpoint = EndpointStandIn(send_second_event_when_first_is_read)
    caller = Caller(start_entry(endpoint))
    caller.send("/draft/a", body=b"prompt")
    wait_for_event(caller, 1)
    is_first_read.send()
    assert read_answer(caller) == Answer(200, event(1) + event(2))


@pytest.mark.parametrize("is_over", [False, True])
def test_streams_that_end_together_cost_one_connection(is_over: bool) -> None:
    endpoint = ProcessStandIn(begin_stream)
    entry = start_entry()
    entry.apply_endpoint(published("e-0", endpoint.address, slots=STREAMS))
    callers = [Caller(entry) for _ in range(STREAMS)]
    for number, caller in enumerate(callers):
        caller.send("/draft/a", rid=f"r-{number}", body=b"prompt")
    wait_for_request(endpoint, STREAMS)
    assert entry.ctx.pool.opened == STREAMS
    if is_over:
        endpoint.exit()
    else:
        endpoint.close_connections()
    answers = [read_answer(caller) for caller in callers]
    whole = Answer(200, event(1) + event(2))
    assert answers == [BEGUN_STREAM if is_over else whole] * STREAMS
    assert entry.ctx.pool.opened == STREAMS + 1
    assert entry.ctx.counters.unproven_ends == is_over * STREAMS


def test_an_endpoint_that_resets_every_further_connection_lives() -> None:
    endpoint = ProcessStandIn(close_after_plain)
    endpoint.further = Dialog.reset
    caller = Caller(start_entry(endpoint))
    caller.send("/once/a", body=b"prompt")
    began_at = clock.now()
    assert read_answer(caller) == Answer(200, b"fine")
    assert clock.now() - began_at < WHOLE_TIME_S
    assert endpoint.further_count == 2


def test_a_listener_that_closes_after_it_accepted_a_connection_proves_no_end() -> None:
    endpoint = ProcessStandIn(close_after_plain)

    def exit_now(dialog: Dialog) -> None:
        endpoint.close()
        dialog.reset()

    endpoint.further = exit_now
    caller = Caller(start_entry(endpoint))
    caller.send("/once/a", body=b"prompt")
    assert read_answer(caller).status == 502
    assert endpoint.further_count == 1


def test_a_proxy_that_still_listens_for_an_engine_that_exited_proves_no_end() -> None:
    endpoint = ProcessStandIn(close_after_plain)
    endpoint.further = lambda dialog: dialog.sock.close()
    caller = Caller(start_entry(endpoint))
    caller.send("/once/a", body=b"prompt")
    assert read_answer(caller).status == 502


def test_an_endpoint_that_started_again_proves_no_end_of_its_last_incarnation() -> None:
    endpoint = ProcessStandIn(close_after_plain)
    entry = start_entry()
    record = replace(published("e-0", endpoint.address), born=1000, sequence=1)

    def start_again(_: Dialog) -> None:
        entry.apply_endpoint(replace(record, born=2000))

    endpoint.further = start_again
    entry.apply_endpoint(record)
    caller = Caller(entry)
    caller.send("/once/a", body=b"prompt")
    assert read_answer(caller).status == 502


@pytest.mark.parametrize("is_listed_again", [False, True])
def test_an_endpoint_that_left_the_list_and_serves_on_is_believed(
    is_listed_again: bool,
) -> None:
    endpoint = ProcessStandIn(begin_plain)
    entry = start_entry(endpoint)
    record = row_of(entry).published
    caller = Caller(entry)
    caller.send("/once/a", body=b"prompt")
    wait_for_request(endpoint)
    entry.remove_endpoint("e-0")
    if is_listed_again:
        entry.apply_endpoint(record)
    endpoint.close_connections()
    assert read_answer(caller) == Answer(200, b"first half, ")


def test_another_endpoint_at_the_address_of_one_that_left_proves_no_end() -> None:
    endpoint = ProcessStandIn(begin_plain)
    entry = start_entry(endpoint)
    caller = Caller(entry)
    caller.send("/once/a", body=b"prompt")
    wait_for_request(endpoint)
    entry.remove_endpoint("e-0")
    entry.apply_endpoint(published("e-1", endpoint.address))
    endpoint.close_connections()
    assert read_answer(caller).status == 502


def test_the_metrics_page_counts_checks_and_ends_that_were_not_believed() -> None:
    entry, _ = request_during_exit("/once/a", begin_plain)
    address = entry.settings.metrics_address
    assert address is not None
    page = fetch_page(address, "/metrics")
    for name in (b"end_checks", b"unproven_ends"):
        assert b"dockreach_direct_" + name + b'_total{daemon="entry-1"} 1\n' in page


def row_of(entry: Entry) -> EndpointRow:
    row = entry.endpoints.get("e-0")
    assert row is not None
    return row


def sent_upstream(entry: Entry) -> UpstreamRequest:
    """Return an upstream request whose response may be read."""
    req = SimpleNamespace(rid="r-1", method=b"GET", target=b"/", has_body=False, body=b"")
    job = SimpleNamespace(endpoint=None)
    upstream = UpstreamRequest(
        entry.ctx, cast(Any, req), cast(Any, job), row_of(entry), NO_PLACEMENT
    )
    upstream.connect(None, set())
    upstream.send([(b"Host", b"h"), (b"Request-Id", b"r-1")])
    return upstream


def hold_checks(entry: Entry) -> Signal:
    """Let checks begin only when the signal that is returned was sent."""
    may_open = Signal()
    open_connection = entry.ctx.pool.open

    def open_when_allowed(address: str) -> EndpointConnection:
        may_open.wait()
        return open_connection(address)

    entry.ctx.pool.open = open_when_allowed  # type: ignore[method-assign]
    return may_open


def wait_for_check(entry: Entry) -> None:
    with eventlet.Timeout(2):
        while not entry.ctx.counters.end_checks:
            eventlet.sleep(0.001)


def interrupt_at_the_end(entry: Entry) -> tuple[UpstreamRequest, Signal]:
    """Interrupt the reader of a response in the check of its end.

    Returns:
        The upstream request, and the signal that lets the check go on.
    """
    upstream = sent_upstream(entry)
    may_open = hold_checks(entry)
    reader = eventlet.spawn(upstream.read_ahead)
    wait_for_check(entry)
    reader.kill()
    return upstream, may_open


def test_the_end_of_a_response_is_found_out_after_its_reader_was_interrupted() -> None:
    entry = start_entry(EndpointStandIn(close_after_plain))
    upstream, may_open = interrupt_at_the_end(entry)
    with pytest.raises(SilentError):
        upstream.next_item(clock.now())
    may_open.send()
    item = upstream.next_item()
    assert isinstance(item, PlainResponse)
    assert item.body == b"fine"
    assert entry.ctx.counters.end_checks == 1


def test_the_end_of_a_cut_response_is_found_out_after_its_reader_was_interrupted() -> None:
    endpoint = ProcessStandIn(close_after_plain)
    entry = start_entry(endpoint)
    upstream, may_open = interrupt_at_the_end(entry)
    endpoint.close()
    may_open.send()
    for _ in range(2):
        with pytest.raises(ResponseError, match="may be cut"):
            upstream.next_item()
    assert entry.ctx.counters.end_checks == 1


def test_a_check_that_has_begun_proves_no_later_end() -> None:
    endpoint = EndpointStandIn(respond_fine)
    entry = start_entry(endpoint)
    row = row_of(entry)
    checks = entry.ctx.liveness
    first = checks.begin(row, 8)
    assert checks.begin(row, 8) is first
    with eventlet.Timeout(2):
        while not endpoint.dialogs:
            eventlet.sleep(0.001)
    second = checks.begin(row, 8)
    assert second is not first
    endpoint.close()
    assert not first.wait(clock.now() + 1).problem
    assert second.wait(clock.now() + 1).is_refused
    assert entry.ctx.counters.end_checks == 2


def test_an_endpoint_that_refuses_a_connection_costs_no_further_one() -> None:
    endpoint = EndpointStandIn(respond_fine)
    entry = start_entry(endpoint)
    row = row_of(entry)
    checks = entry.ctx.liveness
    first = checks.begin(row, 8)
    endpoint.close()
    second = None

    def begin_during_first(address: str) -> EndpointConnection:
        nonlocal second
        second = checks.begin(row, 8)
        return open_connection(address)

    open_connection = entry.ctx.pool.open
    entry.ctx.pool.open = begin_during_first  # type: ignore[method-assign]
    assert first.wait(clock.now() + 1).is_refused
    assert second is not None
    assert second.wait(clock.now() + SETTLE_S).is_refused
    assert entry.ctx.counters.end_checks == 1


def test_a_late_response_without_a_length_is_neither_passed_on_nor_checked() -> None:
    def respond_late_and_close(dialog: Dialog) -> None:
        dialog.send(b"HTTP/1.1 200 OK\r\nRequest-Id: r-old\r\n\r\nwrong")
        dialog.sock.close()

    entry = start_entry(EndpointStandIn(respond_late_and_close))
    caller = Caller(entry)
    caller.send("/once/a", body=b"prompt")
    answer = read_answer(caller)
    assert answer.status == 502
    assert b"wrong" not in answer.body
    assert entry.ctx.counters.end_checks == 0


def reset_in_mid_response(dialog: Dialog) -> None:
    begin_plain(dialog)
    eventlet.sleep(SETTLE_S)
    reset(dialog.sock)


def test_a_response_that_is_reset_costs_no_check() -> None:
    entry = start_entry(EndpointStandIn(reset_in_mid_response))
    caller = Caller(entry)
    caller.send("/once/a", body=b"prompt")
    assert read_answer(caller).status == 502
    assert entry.ctx.counters.end_checks == 0


def test_a_check_of_an_end_does_not_hold_the_slot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    entry = start_entry(EndpointStandIn(close_after_plain))
    run_check = entry.ctx.liveness._run
    may_run = Signal()

    def run_when_allowed(row: EndpointRow, check: LivenessCheck) -> Liveness:
        may_run.wait()
        return run_check(row, check)

    monkeypatch.setattr(entry.ctx.liveness, "_run", run_when_allowed)
    caller = Caller(entry)
    caller.send("/once/a", body=b"p")
    with eventlet.Timeout(2):
        while not entry.ctx.liveness._running:
            eventlet.sleep(0.001)
    assert row_of(entry).in_flight_here == 0
    may_run.send(None)
    assert status_of(caller.read_response()) == 200


def test_a_lost_connection_attempt_does_not_make_a_whole_response_fail(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    entry = start_entry(EndpointStandIn(close_after_plain))
    open_connection = entry.ctx.pool.open
    results: list[Exception | None] = [None, ConnectError("timed out"), None]
    results[1].__cause__ = TimeoutError()  # type: ignore[union-attr]

    def open_or_lose(address: str) -> EndpointConnection:
        lost = results.pop(0)
        if lost is not None:
            raise lost
        return open_connection(address)

    monkeypatch.setattr(entry.ctx.pool, "open", open_or_lose)
    caller = Caller(entry)
    caller.send("/once/a", body=b"p")
    response = caller.read_response()
    assert (status_of(response), results) == (200, [])


def close_later(dialog: Dialog) -> None:
    eventlet.sleep(2.5 * SETTLE_S)
    dialog.sock.close()


def test_a_stream_is_cut_if_its_endpoints_process_takes_long_to_end() -> None:
    endpoint = ProcessStandIn()

    def end_slowly(dialog: Dialog) -> None:
        begin_stream(dialog)
        dialog.sock.close()
        eventlet.sleep(2.5 * SETTLE_S)
        endpoint.close()

    endpoint.scripts.append(end_slowly)
    endpoint.further = close_later
    caller = Caller(start_entry(endpoint))
    caller.send("/draft/a", body=b"p")
    assert read_answer(caller) == BEGUN_STREAM


def test_a_successor_at_the_port_of_an_ended_process_proves_no_end() -> None:
    """Guards against a new connection that reaches another process after a first reset.

    The first one still waits in the queue of the listener that ends.
    """
    endpoint = ProcessStandIn(begin_stream)
    endpoint._listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    ip, _, port = endpoint.address.rpartition(":")

    def start_successor() -> None:
        accept_all(eventlet.listen((ip, int(port))), lambda _: None)

    def end(dialog: Dialog) -> None:
        endpoint.close()
        dialog.reset()
        eventlet.spawn_after(STREAM_SETTLE_S / 3, start_successor)

    endpoint.further = end
    caller = Caller(start_entry(endpoint))
    caller.send("/draft/a", body=b"prompt")
    wait_for_request(endpoint)
    wait_for_event(caller, 2)
    endpoint.close_connections()
    assert read_answer(caller) == BEGUN_STREAM


HEALTH_PATH = "/health"
HEALTH_WAIT_S = 3 * STREAM_SETTLE_S
"""How long an endpoint leaves a health check unanswered, in seconds: longer than a new
connection is watched where there is no health path."""

SHORT_TIMEOUT_S = 2 * HEALTH_WAIT_S
"""Timeout of health checks in place of the usual one, in seconds."""


def respond_as(name: str) -> Script:
    """Return a script that answers a health check in the name of an endpoint."""

    def respond(dialog: Dialog) -> None:
        head = f"HTTP/1.1 200 OK\r\nInstance-Id: {name}\r\nContent-Length: 0\r\n\r\n"
        dialog.send(head.encode())

    return respond


def respond_with(head: str) -> Script:
    """Return a script that answers a health check with a status and headers."""

    def respond(dialog: Dialog) -> None:
        dialog.send(f"HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n".encode())

    return respond


class NamedStandIn(ProcessStandIn):
    """An endpoint that answers health checks.

    Args:
        scripts: What it does with requests.

    Attributes:
        health: What it does with a health check.
        health_checks: Those it received.
    """

    def __init__(self, *scripts: Script) -> None:
        self.health: Script = respond_as("e-0")
        self.health_checks: list[bytes] = []
        super().__init__(*map(self._unless_health, scripts))

    def _unless_health(self, script: Script) -> Script:
        def run(dialog: Dialog) -> None:
            if not dialog.request.startswith(f"GET {HEALTH_PATH} ".encode()):
                script(dialog)
                return
            self.health_checks.append(self.requests.pop())
            self.health(dialog)

        return run


def start_checking_entry(*endpoints: EndpointStandIn) -> Entry:
    """Start an entry whose configuration tells the endpoints' health path."""
    return start_entry(*endpoints, config=revision(health_path=HEALTH_PATH))


def request_and_close(endpoint: NamedStandIn, path: str = "/draft/a") -> Answer:
    """Return the answer to a request whose endpoint has closed the connection in order."""
    caller = Caller(start_checking_entry(endpoint))
    caller.send(path, body=b"prompt")
    return read_answer(caller)


def test_another_process_that_listens_at_the_port_proves_no_end() -> None:
    """Guards against a new connection that reaches another process from the beginning."""
    endpoint = NamedStandIn(close_after_stream)
    endpoint.health = respond_as("e-7")
    assert request_and_close(endpoint) == Answer(
        200, WHOLE_STREAM.body, is_reset=True, has_end=False
    )


def test_a_process_that_was_stopped_and_then_killed_proves_no_end() -> None:
    """Guards against a connection that the kernel accepts while its process is stopped."""
    endpoint = NamedStandIn(begin_stream)

    def end_unanswered(dialog: Dialog) -> None:
        eventlet.sleep(HEALTH_WAIT_S)
        endpoint.close()
        dialog.reset()

    endpoint.health = end_unanswered
    caller = Caller(start_checking_entry(endpoint))
    caller.send("/draft/a", body=b"prompt")
    wait_for_event(caller, 2)
    endpoint.close_connections()
    assert read_answer(caller) == BEGUN_STREAM


SUCCESSOR = """
import socket, sys
listener = socket.create_server((sys.argv[1], int(sys.argv[2])))
print("listening", flush=True)
while True:
    conn, _ = listener.accept()
    conn.recv(65536)
    head = b"HTTP/1.1 200 OK\\r\\nInstance-Id: e-7\\r\\nContent-Length: 0\\r\\n\\r\\n"
    conn.sendall(head)
"""
"""An endpoint that has taken the port of another."""


def test_a_stream_of_a_killed_process_whose_port_was_taken_at_once_is_cut() -> None:
    with running_process() as (process, address):
        entry = start_checking_entry()
        entry.apply_endpoint(published("e-0", address))
        caller = Caller(entry)
        caller.send("/draft/a", body=b"prompt")
        wait_for_event(caller, 2)
        # No greenlet of the entry runs until the successor listens.
        process.kill()
        process.wait()
        with subprocess.Popen(  # noqa: S603
            [sys.executable, "-c", SUCCESSOR, *address.split(":")],
            stdout=subprocess.PIPE,
        ) as successor:
            try:
                assert successor.stdout is not None
                assert successor.stdout.readline()
                assert read_answer(caller) == BEGUN_STREAM
            finally:
                successor.kill()


@pytest.mark.parametrize(
    "health",
    [
        respond_as("e-0"),
        respond_with("503 Service Unavailable\r\nInstance-Id: e-0"),
        respond_with("503 Service Unavailable\r\nNot-Executed: 1"),
        respond_with("200 OK"),
        respond_with("404 Not Found"),
    ],
    ids=["healthy", "draining", "rejected", "unnamed", "unknown path"],
)
@pytest.mark.parametrize(
    ("path", "script", "answer"),
    [
        ("/once/a", close_after_plain, Answer(200, b"fine")),
        ("/draft/a", close_after_stream, WHOLE_STREAM),
    ],
)
def test_a_response_of_an_endpoint_that_answers_a_health_check_is_whole(
    health: Script, path: str, script: Script, answer: Answer
) -> None:
    endpoint = NamedStandIn(script)
    endpoint.health = health
    assert request_and_close(endpoint, path) == answer
    assert len(endpoint.health_checks) == 1
    assert header_of(endpoint.health_checks[0], b"expected-instance") == b"e-0"


@pytest.mark.parametrize(
    "health",
    [
        respond_with("421 Misdirected Request"),
        respond_with("421 Misdirected Request\r\nNot-Executed: 1"),
        respond_with("502 Bad Gateway"),
        respond_with("503 Service Unavailable\r\nInstance-Id: e-7\r\nNot-Executed: 1"),
        lambda dialog: dialog.send(b"ready\r\n\r\n"),
    ],
    ids=["421", "421 not run", "proxy", "another is full", "no HTTP"],
)
def test_a_health_check_that_does_not_name_the_endpoint_proves_no_end(
    health: Script,
) -> None:
    endpoint = NamedStandIn(close_after_plain)
    endpoint.health = health
    assert request_and_close(endpoint, "/once/a").status == 502


def test_an_endpoint_that_is_slow_to_answer_a_health_check_is_believed() -> None:
    endpoint = NamedStandIn(close_after_stream)

    def respond_late(dialog: Dialog) -> None:
        eventlet.sleep(HEALTH_WAIT_S)
        respond_as("e-0")(dialog)

    endpoint.health = respond_late
    assert request_and_close(endpoint) == WHOLE_STREAM


def never_respond(dialog: Dialog) -> None:
    dialog.wait_until_closed()


def test_an_endpoint_that_never_answers_a_health_check_is_not_waited_for_long(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("dockreach.direct.liveness.HEALTH_TIMEOUT_S", SHORT_TIMEOUT_S)
    endpoint = NamedStandIn(close_after_stream)
    endpoint.health = never_respond
    began_at = clock.now()
    assert request_and_close(endpoint).is_reset
    assert SHORT_TIMEOUT_S <= clock.now() - began_at < SHORT_TIMEOUT_S + WHOLE_TIME_S
    assert SHORT_TIMEOUT_S < HEALTH_TIMEOUT_S


@pytest.mark.parametrize("ends_too", [False, True])
def test_a_connection_that_is_still_open_proves_the_end_of_another(
    ends_too: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an endpoint whose slots are full, and whose whole streams are cut."""
    monkeypatch.setattr("dockreach.direct.liveness.HEALTH_TIMEOUT_S", SHORT_TIMEOUT_S)
    endpoint = NamedStandIn(begin_stream, close_after_stream)
    endpoint.health = never_respond
    entry = start_checking_entry(endpoint)
    older, caller = Caller(entry), Caller(entry)
    older.send("/draft/a", rid="r-0", body=b"prompt")
    wait_for_event(older, 2)
    caller.send("/draft/a", body=b"prompt")
    wait_for_event(caller, 3)
    if ends_too:
        reset(endpoint.dialogs[0].sock)
    answer = read_answer(caller)
    assert (answer.body, answer.is_reset) == (WHOLE_STREAM.body, ends_too)


def test_a_reset_is_still_known_to_the_reader_of_a_connection_that_was_watched() -> None:
    endpoint = NamedStandIn(begin_plain)
    entry = start_checking_entry(endpoint)
    upstream = sent_upstream(entry)
    wait_for_request(endpoint)
    conn = upstream._connection
    assert conn.is_established()
    reset(endpoint.dialogs[0].sock)
    with eventlet.Timeout(2):
        while conn.is_established():
            eventlet.sleep(0.001)
    with pytest.raises(ResponseError, match="reset"):
        upstream.next_item()


def test_streams_that_end_together_cost_one_health_check() -> None:
    endpoint = NamedStandIn(begin_stream)
    entry = start_checking_entry()
    entry.apply_endpoint(published("e-0", endpoint.address, slots=STREAMS))
    callers = [Caller(entry) for _ in range(STREAMS)]
    for number, caller in enumerate(callers):
        caller.send("/draft/a", rid=f"r-{number}", body=b"prompt")
    wait_for_request(endpoint, STREAMS)
    endpoint.close_connections()
    whole = Answer(200, event(1) + event(2))
    assert [read_answer(caller) for caller in callers] == [whole] * STREAMS
    assert len(endpoint.health_checks) == entry.ctx.counters.end_probes == 1


@pytest.mark.parametrize("path", ["/once/a", "/draft/a"])
def test_a_response_with_an_end_of_its_own_costs_no_health_check(path: str) -> None:
    def respond_framed(dialog: Dialog) -> None:
        if path.startswith("/once"):
            respond_fine(dialog)
            return
        dialog.start_stream()
        dialog.chunk(event(1))
        dialog.chunk(b"")

    endpoint = NamedStandIn(respond_framed)
    assert request_and_close(endpoint, path).has_end
    assert endpoint.health_checks == []


def test_the_connection_of_a_health_check_serves_the_next_request() -> None:
    endpoint = NamedStandIn(close_after_plain)
    entry = start_checking_entry(endpoint)
    for number in range(3):
        caller = Caller(entry)
        caller.send("/once/a", rid=f"r-{number}", body=b"prompt")
        assert read_answer(caller) == Answer(200, b"fine")
    assert entry.ctx.pool.opened == 4


def test_an_endpoint_without_a_free_connection_for_a_health_check_lives() -> None:
    endpoint = NamedStandIn(close_after_plain)
    endpoint.further = Dialog.reset
    assert request_and_close(endpoint, "/once/a") == Answer(200, b"fine")
    assert endpoint.further_count == 2
