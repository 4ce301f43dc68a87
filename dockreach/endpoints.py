"""Adapters between an agent and the endpoint beside it, one for each kind of endpoint.

An adapter dispatches a run and reports the response as messages to the core. It never
repeats a dispatch. To support another protocol, add a class for its kind and register
the functions below for it.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatch
from typing import Any

import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from . import _green, clock
from ._decoding import decode, whole_number
from .agent_tables import (
    CacheEvent,
    EngineChunk,
    EngineEnded,
    EngineNotRun,
    ProbeSample,
    StartRun,
)
from .errors import WireError
from .messages import Chunk
from .orders import EndpointState, LoadOrder
from .verdict import Reason

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 300.0
"""Time without data from an engine after which its response counts as cut."""

MAX_RESUME_ATTEMPTS = 3
RESUME_DELAY_S = 0.1
READ_SIZE_BYTES = 64 << 10
PROBE_TOKENS = 4
BUSY_STATUSES = frozenset({429, 503})
"""HTTP statuses by which an OpenAI-style engine refuses a request without running it."""

EVENT_STREAM = "text/event-stream"
PREFILL_TOKENS_HEADER = "X-Prefill-Tokens"
CACHED_TOKENS_HEADER = "X-Cached-Tokens"

MessageSink = Callable[[object], None]
"""Called with each message to the core."""

ReadGate = Callable[[str], bool]
"""Called with a request id; returns whether to read on from the engine.

It returns false while the readers of the run lag behind.
"""


class _IncompleteResponseError(Exception):
    """The connection to the engine ended before the response did."""


@dataclass(slots=True)
class Connection:
    """The state that all kinds share: the address, and the open responses by request id."""

    url: str
    sink: MessageSink
    may_read: ReadGate
    pool: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(
            retries=False,
            maxsize=64,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
        )
    )
    open_responses: dict[str, Any] = field(default_factory=dict)
    cancelled_runs: set[str] = field(default_factory=set)


@dataclass(slots=True)
class OpenAiEngine:
    """An engine with the OpenAI-style protocol and the extensions used here.

    These look up and cancel runs, number events, and report the prefix cache.
    """

    conn: Connection


@dataclass(slots=True)
class PlainService:
    """A worker of a plain service."""

    conn: Connection


def create_adapter(
    kind: str, url: str, sink: MessageSink, may_read: ReadGate
) -> OpenAiEngine | PlainService:
    """Return the adapter for a declared kind of endpoint."""
    conn = Connection(url, sink, may_read)
    return PlainService(conn) if kind == "service" else OpenAiEngine(conn)


@singledispatch
def dispatch(endpoint: object, start: StartRun) -> None:
    """Send a request to the endpoint once and report its response."""
    raise TypeError(f"no adapter for {type(endpoint).__name__}")


@dispatch.register
def _(endpoint: OpenAiEngine, start: StartRun) -> None:
    conn = endpoint.conn
    rid = start.commit.rid
    headers = {
        "X-Request-Id": rid,
        "X-Priority": str(2 * start.tier + (0 if start.short else 1)),
    }
    response = _send_request(conn, start, headers)
    if response is None:
        return
    if response.status in BUSY_STATUSES:
        response.drain_conn()
        _release(conn, rid)
        conn.sink(EngineNotRun(rid))
        return
    _relay_response(conn, rid, response, 0)


@dispatch.register
def _(endpoint: PlainService, start: StartRun) -> None:
    conn = endpoint.conn
    rid = start.commit.rid
    response = _send_request(conn, start, {"X-Request-Id": rid})
    if response is None:
        return
    try:
        number = _relay_body(conn, rid, response, 0)
    except (_IncompleteResponseError, HTTPError, OSError):
        conn.sink(EngineEnded(rid, False, 0, Reason.ENGINE_LOST))
    else:
        conn.sink(EngineEnded(rid, True, number))
    finally:
        _release(conn, rid)


def _send_request(conn: Connection, start: StartRun, headers: dict[str, str]) -> Any:  # noqa: ANN401
    """Send a request; return the response, or ``None`` after handling a failure."""
    commit = start.commit
    if commit.body:
        headers["Content-Type"] = commit.content_type
    try:
        response = conn.pool.request(
            commit.method,
            conn.url + commit.path,
            body=commit.body or None,
            headers=headers,
            preload_content=False,
        )
    except (NewConnectionError, ConnectTimeoutError):
        conn.sink(EngineNotRun(commit.rid, unreachable=True))
        return None
    except (HTTPError, OSError):
        _resume_after_cut(conn, commit.rid, 0)
        return None
    conn.open_responses[commit.rid] = response
    return response


def _relay_response(conn: Connection, rid: str, response: Any, number: int) -> None:  # noqa: ANN401
    """Report an engine's response to its end; resume it if the connection is lost."""
    progress = [number]
    try:
        if response.headers.get("Content-Type", "").startswith(EVENT_STREAM):
            total = _relay_events(conn, rid, response, progress)
        else:
            total = _relay_body(conn, rid, response, progress[0])
    except (_IncompleteResponseError, HTTPError, OSError):
        _release(conn, rid)
        _resume_after_cut(conn, rid, progress[0])
        return
    prefill = whole_number(response.headers.get(PREFILL_TOKENS_HEADER, "")) or 0
    cached = whole_number(response.headers.get(CACHED_TOKENS_HEADER, "")) or 0
    _release(conn, rid)
    ended = EngineEnded(rid, True, total, prefill_tokens=prefill, cached_tokens=cached)
    conn.sink(ended)


def _resume_after_cut(conn: Connection, rid: str, number: int) -> None:
    """Resume a run from a chunk on, after its connection was lost.

    The run is reported as lost if the engine does not know it after some attempts.
    """
    for _ in range(MAX_RESUME_ATTEMPTS):
        if rid in conn.cancelled_runs:
            break
        _green.sleep(RESUME_DELAY_S)
        response = _fetch_run(conn, rid, number)
        if response is not None:
            _relay_response(conn, rid, response, number)
            return
    conn.cancelled_runs.discard(rid)
    conn.sink(EngineEnded(rid, False, 0, Reason.ENGINE_LOST))


def _fetch_run(conn: Connection, rid: str, number: int) -> Any:  # noqa: ANN401
    """Return the response of a run from a chunk on; ``None`` if the engine has none."""
    url = f"{conn.url}/v1/runs/{rid}?offset={number}"
    try:
        response = conn.pool.request("GET", url, preload_content=False)
    except (HTTPError, OSError):
        return None
    if response.status != 200:
        response.drain_conn()
        return None
    conn.open_responses[rid] = response
    return response


def _relay_events(conn: Connection, rid: str, response: Any, progress: list[int]) -> int:  # noqa: ANN401
    """Report server-sent events, numbered by their ``id``; return their count."""
    buffer = b""
    count = -1
    status = response.status
    content_type = response.headers.get("Content-Type", "")
    for data in response.stream(READ_SIZE_BYTES):
        buffer += data
        *events, buffer = buffer.split(b"\n\n")
        for event in events:
            number, text = _parse_event(event, progress[0])
            is_last = text == b"data: [DONE]"
            if is_last:
                count = number + 1
            chunk = Chunk(
                rid=rid,
                number=number,
                data=text + b"\n\n",
                tokens=0 if is_last else 1,
                status=status,
                content_type=content_type,
            )
            conn.sink(EngineChunk(chunk))
            if number == progress[0]:
                progress[0] += 1
        _wait_for_readers(conn, rid)
    if count < 0:
        raise _IncompleteResponseError
    return count


def _parse_event(event: bytes, expected: int) -> tuple[int, bytes]:
    """Return an event's number and its text without the number.

    Raises:
        _IncompleteResponseError: Its id is not a number.
    """
    first, _, rest = event.partition(b"\n")
    if not first.startswith(b"id: "):
        return expected, event
    number = whole_number(first[4:].decode("latin-1").strip())
    if number is None:
        raise _IncompleteResponseError
    return number, rest


def _relay_body(conn: Connection, rid: str, response: Any, number: int) -> int:  # noqa: ANN401
    """Report a plain body chunk by chunk; return the number after the last chunk."""
    content_type = response.headers.get("Content-Type", "")
    expected_size = response.headers.get("Content-Length")
    size = 0
    for received in response.stream(READ_SIZE_BYTES):
        size += len(received)
        conn.sink(
            EngineChunk(Chunk(rid, number, received, 0, response.status, content_type))
        )
        number += 1
        _wait_for_readers(conn, rid)
    if expected_size is not None and size < int(expected_size):
        raise _IncompleteResponseError
    if number == 0:
        conn.sink(EngineChunk(Chunk(rid, 0, b"", 0, response.status, content_type)))
        number = 1
    return number


def _wait_for_readers(conn: Connection, rid: str) -> None:
    while not conn.may_read(rid):
        _green.sleep(0.02)


def _release(conn: Connection, rid: str) -> None:
    response = conn.open_responses.pop(rid, None)
    if response is not None:
        response.release_conn()


@singledispatch
def cancel(endpoint: object, rid: str) -> None:
    """Stop a run at the endpoint."""
    raise TypeError(f"no adapter for {type(endpoint).__name__}")


@cancel.register
def _(endpoint: OpenAiEngine, rid: str) -> None:
    endpoint.conn.cancelled_runs.add(rid)
    try:
        endpoint.conn.pool.request("DELETE", f"{endpoint.conn.url}/v1/runs/{rid}")
    except (HTTPError, OSError):
        return
    finally:
        _green.sleep(0)
        endpoint.conn.cancelled_runs.discard(rid)


@cancel.register
def _(endpoint: PlainService, rid: str) -> None:
    response = endpoint.conn.open_responses.get(rid)
    if response is not None:
        response.close()


@singledispatch
def resume(endpoint: object, rid: str) -> bool:
    """Take over a run of an earlier incarnation; return whether the endpoint knows it.

    The response is read from its beginning, so that any caller can get all of it.
    """
    del endpoint, rid
    return False


@resume.register
def _(endpoint: OpenAiEngine, rid: str) -> bool:
    response = _fetch_run(endpoint.conn, rid, 0)
    if response is None:
        return False
    _green.spawn(_relay_response, endpoint.conn, rid, response, 0)
    return True


def is_reachable(endpoint: OpenAiEngine | PlainService) -> bool:
    """Return whether an endpoint's address accepts connections."""
    host, _, port = endpoint.conn.url.removeprefix("http://").rpartition(":")
    try:
        socket.create_connection((host, int(port)), timeout=CONNECT_TIMEOUT_S).close()
    except OSError:
        return False
    return True


@singledispatch
def probe(endpoint: object) -> ProbeSample:
    """Measure the speed of an idle endpoint; not supported by most kinds."""
    del endpoint
    return ProbeSample(None, None)


@probe.register
def _(endpoint: OpenAiEngine) -> ProbeSample:
    body = msgspec.json.encode(
        {"model": "probe", "prompt": "probe", "max_tokens": PROBE_TOKENS, "stream": True}
    )
    started = clock.now()
    try:
        response = endpoint.conn.pool.request(
            "POST",
            f"{endpoint.conn.url}/v1/completions",
            body=body,
            headers={"Content-Type": "application/json", "X-Probe": "1"},
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=10.0),
        )
    except (HTTPError, OSError):
        return ProbeSample(None, None)
    if response.status != 200:
        return ProbeSample(None, None)
    gap = (clock.now() - started) / PROBE_TOKENS
    return ProbeSample(None, gap)


def fetch_loaded_state(endpoint: OpenAiEngine | PlainService) -> EndpointState | None:
    """Return what an endpoint has loaded; ``None`` if it does not report it."""
    try:
        response = endpoint.conn.pool.request("GET", f"{endpoint.conn.url}/v1/state")
        if response.status != 200:
            return None
        return decode(_STATE, response.data, WireError)
    except (HTTPError, OSError, WireError):
        return None


def send_order(endpoint: OpenAiEngine | PlainService, order: LoadOrder) -> bool:
    """Send a load order; return whether the endpoint accepted it."""
    try:
        response = endpoint.conn.pool.request(
            "POST", f"{endpoint.conn.url}/v1/orders", body=msgspec.json.encode(order)
        )
    except (HTTPError, OSError):
        return False
    return bool(response.status == 200)


class _Event(msgspec.Struct):
    number: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()


_STATE = msgspec.json.Decoder(EndpointState)
_EVENTS = msgspec.json.Decoder(list[_Event])


@singledispatch
def fetch_cache_events(endpoint: object, after: int) -> list[CacheEvent]:
    """Return the changes of the endpoint's prefix cache after an event number.

    Kinds without such a cache report none.
    """
    del endpoint, after
    return []


@fetch_cache_events.register
def _(endpoint: OpenAiEngine, after: int) -> list[CacheEvent]:
    url = f"{endpoint.conn.url}/v1/cache/events?after={after}"
    try:
        response = endpoint.conn.pool.request("GET", url)
        events = decode(_EVENTS, response.data, WireError)
    except (HTTPError, OSError, WireError):
        return []
    return [CacheEvent(event.number, event.stored, event.evicted) for event in events]
