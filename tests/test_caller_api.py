"""Invalid input of callers is refused with a clear error and affects no other request."""

from __future__ import annotations

import contextlib
import json
import socket
from collections.abc import Iterator

import pytest

from dockreach.launching import Deployment

from .fleet import Caller, fleet, run_deployment

AUTH = "Authorization: Bearer org-key"
LIMITS = "unclear_s = 4\nbody_bytes = 20000\nsender_s = 1"


@pytest.fixture(scope="module")
def small() -> Iterator[Deployment]:
    yield from run_deployment(fleet(1, services=1, limits=LIMITS))


def send_raw(deployment: Deployment, data: bytes, *, finish: bool = True) -> bytes:
    """Send bytes to an entry and return everything that it sends back.

    A server that refuses a request before it has read all of it resets the connection. The
    reset may arrive before its response, which is then empty here.
    """
    entry = deployment.entries["entry1"]
    parts = []
    with socket.create_connection((entry.ip, entry.http_port), timeout=20) as conn:
        with contextlib.suppress(OSError):
            conn.sendall(data)
            if finish:
                conn.shutdown(socket.SHUT_WR)
        with contextlib.suppress(ConnectionResetError):
            while part := conn.recv(65536):
                parts.append(part)
    return b"".join(parts)


def post(deployment: Deployment, body: bytes, *headers: str, path: str = "") -> bytes:
    head = [f"POST {path or '/v1/completions'} HTTP/1.1", "Host: x", "Connection: close"]
    head += [*headers, f"Content-Length: {len(body)}", "", ""]
    return send_raw(deployment, "\r\n".join(head).encode("latin-1") + body)


def completion_body(**changes: object) -> bytes:
    fields = {"model": "m", "prompt": "hello", "max_tokens": 3, **changes}
    return json.dumps(fields).encode()


@pytest.mark.parametrize(
    ("data", "status", "code"),
    [
        (b"{", 400, "bad_request"),
        (b"\xff\xfe{}", 400, "bad_request"),
        (b'{"model":"m","prompt":"\xff"}', 400, "bad_request"),
        (b"[]", 400, "bad_request"),
        (b'{"model":"m","n":' + b"[" * 1100 + b"]" * 1100 + b"}", 400, "bad_request"),
        (completion_body(max_tokens=0), 400, "bad_request"),
        (completion_body(max_tokens="many"), 400, "bad_request"),
        (completion_body(prompt=""), 400, "bad_request"),
        (completion_body(model="unknown"), 404, "unknown_model"),
        (completion_body(prompt="x" * 30000), 413, "too_large"),
    ],
)
def test_invalid_body_is_refused(
    small: Deployment, data: bytes, status: int, code: str
) -> None:
    response = post(small, data, AUTH)
    assert response.startswith(f"HTTP/1.1 {status}".encode())
    error = json.loads(response.partition(b"\r\n\r\n")[2])["error"]
    assert error["code"] == code
    assert error["verdict"] == "not_run"
    assert error["reason"]


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        (("Authorization: Bearer guess",), 401),
        ((), 401),
        ((AUTH, "Dockreach-Tier: king"), 403),
        ((AUTH, "Dockreach-Deadline-Ms: soon"), 400),
        ((AUTH, "Dockreach-Deadline-Ms: -5"), 400),
        ((AUTH, "Dockreach-Deadline-Ms: " + "9" * 400), 400),
        ((AUTH, "Dockreach-Ticket: rubbish"), 400),
        ((AUTH, "Dockreach-Ticket: r-1:a-1:\u00b2"), 400),
        ((AUTH, "Dockreach-Ticket: r-1:a-1:" + "9" * 5000), 400),
        ((AUTH, "Idempotency-Key: " + "k" * 300), 400),
    ],
)
def test_invalid_header_is_refused(
    small: Deployment, headers: tuple[str, ...], status: int
) -> None:
    response = post(small, completion_body(), *headers)
    assert response.startswith(f"HTTP/1.1 {status}".encode())


def test_unknown_service_or_path_is_not_found(small: Deployment) -> None:
    assert post(small, b"", AUTH, path="/services/none/x").startswith(b"HTTP/1.1 404")
    assert post(small, b"", AUTH, path="/elsewhere").startswith(b"HTTP/1.1 404")


def test_too_many_headers_are_refused(small: Deployment) -> None:
    flood = [f"X-Flood-{index}: {'y' * 1000}" for index in range(100)]
    response = post(small, completion_body(), AUTH, *flood)
    assert response == b"" or b" 400 Headers Too Large" in response.split(b"\r\n")[0]
    assert Caller(small, tokens=5).wait_until_ended().is_complete


def test_slow_sender_is_disconnected_without_delaying_others(small: Deployment) -> None:
    """A body that stops arriving must not occupy the entry for ever."""
    head = f"POST /v1/completions HTTP/1.1\r\nHost: x\r\n{AUTH}\r\nContent-Length: 500"
    response = send_raw(small, head.encode() + b"\r\n\r\nhalf", finish=False)
    assert response == b"" or response.startswith(b"HTTP/1.1 400")
    assert Caller(small, tokens=5).wait_until_ended().is_complete


def test_truncated_body_is_refused(small: Deployment) -> None:
    head = f"POST /v1/completions HTTP/1.1\r\nHost: x\r\n{AUTH}\r\nContent-Length: 500"
    response = send_raw(small, head.encode() + b"\r\n\r\nhalf")
    assert b"400" in response.split(b"\r\n")[0]


def test_plain_service_receives_method_path_query_and_body(small: Deployment) -> None:
    head = ["PUT /services/records/a/b?c=d HTTP/1.1", "Host: x", "Connection: close"]
    head += [AUTH, "Content-Length: 2", "", "hi"]
    response = send_raw(small, "\r\n".join(head).encode())
    assert response.startswith(b"HTTP/1.1 200")
    assert b'"method":"PUT","path":"/a/b","query":"c=d","body":"hi"' in response


def test_complete_response_has_id_ticket_and_verdict(small: Deployment) -> None:
    caller = Caller(small, tokens=3, stream=False).wait_until_ended()
    assert caller.headers["Dockreach-Verdict"] == "ran"
    assert caller.headers["Dockreach-Ticket"].startswith(caller.rid + ":")


def test_request_that_cannot_meet_its_deadline_is_refused(small: Deployment) -> None:
    """It must be refused before it runs, with a delay for the retry."""
    caller = Caller(
        small, tokens=500, headers={"Dockreach-Deadline-Ms": "300"}
    ).wait_until_ended()
    assert caller.status == 503
    assert caller.verdict == "not_run"
    assert int(caller.headers["Retry-After"]) >= 1
    assert small.run_count(caller.rid) == 0


def test_caller_that_stops_reading_does_not_block_others(small: Deployment) -> None:
    """A caller that does not read its stream must not hold up the responses of others."""
    data = completion_body(max_tokens=900, stream=True)
    head = ["POST /v1/completions HTTP/1.1", "Host: x", AUTH]
    head += [f"Content-Length: {len(data)}", "", ""]
    entry = small.entries["entry1"]
    conn = socket.socket()
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    conn.connect((entry.ip, entry.http_port))
    conn.sendall("\r\n".join(head).encode() + data)
    assert Caller(small, tokens=5).wait_until_ended().is_complete
    conn.close()
