"""A stand-in for an engine, used by tests, benchmarks and the demo.

It serves the OpenAI-style protocol with the extensions that the adapter uses, and
models prefill and decode speed, batch size and a bounded prefix cache. It can be set
to slow down, hang, or cut or reorder streams. Its log of runs shows whether a request
ran at most once.
"""

from __future__ import annotations

from . import _green

_green.install(with_asyncio=False)

import time  # noqa: E402
from collections import OrderedDict, deque  # noqa: E402
from collections.abc import Callable, Iterator  # noqa: E402
from dataclasses import dataclass, field  # noqa: E402
from hashlib import blake2b  # noqa: E402
from typing import Any  # noqa: E402
from urllib.parse import parse_qs  # noqa: E402

import click  # noqa: E402
import eventlet  # noqa: E402
import eventlet.wsgi  # noqa: E402
import msgspec  # noqa: E402

from .orders import EndpointState, LoadOrder  # noqa: E402
from .prefix import BLOCK_TOKENS, block_hashes, estimate_tokens  # noqa: E402
from .request_parsing import Completion, prompt_text  # noqa: E402

STEP_S = 0.002
IDLE_STEP_S = 0.005
FULL_BATCH_SLOWDOWN = 0.5
"""Relative increase of the time between tokens when the batch is full."""

MAX_CACHE_EVENTS = 500
DEFAULT_OUTPUT_TOKENS = 64

StartResponse = Callable[..., Any]


class Control(msgspec.Struct):
    """Faults that the stand-in simulates, set through ``/control``."""

    slow: float = 1.0
    hang: bool = False
    cut_after: int = 0
    reorder: bool = False
    lose_events: bool = False
    refuse: bool = False


class LogRow(msgspec.Struct):
    """Log row of one request id: how often it was dispatched, and the work done."""

    dispatched: int = 0
    prefilled: int = 0
    cached: int = 0
    generated: int = 0
    ended: str = ""


@dataclass(slots=True)
class Run:
    """One request in the engine."""

    rid: str
    priority: int
    arrival_number: int
    blocks: tuple[int, ...]
    prompt_tokens: int
    output_tokens: int
    seed: str
    remaining_prefill: float = 0.0
    produced: int = 0
    next_token_at: float = 0.0
    is_cancelled: bool = False
    progress: Any = field(default_factory=_green.Signal)

    @property
    def is_finished(self) -> bool:
        """Whether all tokens were produced."""
        return self.produced >= self.output_tokens

    def token(self, index: int) -> str:
        """Return the text of one generated token; it depends only on the prompt."""
        return f"{self.seed}-{index} "


class Engine:
    """Model of an engine that prefills one prompt at a time and decodes in a batch."""

    def __init__(
        self, prefill_rate: float, gap_s: float, batch: int, cache_blocks: int
    ) -> None:
        self.prefill_rate = prefill_rate
        self.gap_s = gap_s
        self.batch = batch
        self.cache_blocks = cache_blocks
        self.control = Control()
        self.runs: dict[str, Run] = {}
        self.queue: list[Run] = []
        self.decoding: list[Run] = []
        self.log: dict[str, LogRow] = {}
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.events: deque[dict[str, Any]] = deque(maxlen=MAX_CACHE_EVENTS)
        self.event_number = 0
        self.orders: list[LoadOrder] = []
        self.state = EndpointState()
        self._arrival_number = 0
        self._prefilling: Run | None = None

    def submit(self, rid: str, priority: int, completion: Completion) -> Run:
        """Accept a request; the log counts it even if its id was seen before."""
        text = prompt_text(completion)
        limit = completion.max_completion_tokens or completion.max_tokens
        self._arrival_number += 1
        run = Run(
            rid=rid,
            priority=priority,
            arrival_number=self._arrival_number,
            blocks=block_hashes(text),
            prompt_tokens=estimate_tokens(text),
            output_tokens=limit or DEFAULT_OUTPUT_TOKENS,
            seed=blake2b(text.encode(), digest_size=3).hexdigest(),
        )
        row = self.log.setdefault(rid, LogRow())
        row.dispatched += 1
        self.runs[rid] = run
        self.queue.append(run)
        return run

    def apply_order(self, order: LoadOrder) -> bool:
        """Apply an order; return ``False`` if its fence is not above the last one's."""
        if self.orders and order.fence <= self.orders[-1].fence:
            return False
        self.orders.append(order)
        self.state = EndpointState(order.version, order.adapters)
        return True

    def cancel(self, rid: str) -> bool:
        """Cancel a run; return whether its id is known."""
        run = self.runs.get(rid)
        if run is None:
            return False
        if not run.is_finished:
            run.is_cancelled = True
            self.log[rid].ended = "cancelled"
        if run in self.queue:
            self.queue.remove(run)
        run.progress.set()
        return True

    def run_forever(self) -> None:
        """Advance the model in real time, without end."""
        last = time.monotonic()
        while True:
            _green.sleep(STEP_S if self._is_busy() else IDLE_STEP_S)
            now = time.monotonic()
            if not self.control.hang:
                self._step((now - last) / self.control.slow, now)
            last = now

    def _is_busy(self) -> bool:
        return bool(self.queue or self._prefilling or self.decoding)

    def _step(self, elapsed: float, now: float) -> None:
        self._prefill(elapsed * self.prefill_rate, now)
        active = self.decoding
        gap = self.gap_s * (1 + FULL_BATCH_SLOWDOWN * len(active) / self.batch)
        gap *= self.control.slow
        for run in active:
            while run.next_token_at <= now and not run.is_finished:
                run.produced += 1
                run.next_token_at += gap
                run.progress.set()
            self.log[run.rid].generated = run.produced
            if run.is_finished:
                self.log[run.rid].ended = "whole"
        self.decoding = [
            run for run in active if not run.is_finished and not run.is_cancelled
        ]

    def _prefill(self, budget: float, now: float) -> None:
        while budget > 0:
            run = self._prefilling
            if run is None or run.is_cancelled:
                run = self._prefilling = self._take_next_run()
            if run is None:
                return
            prefilled = min(budget, run.remaining_prefill)
            run.remaining_prefill -= prefilled
            budget -= prefilled
            if run.remaining_prefill <= 0:
                self._start_decoding(run, now)
                self._prefilling = None

    def _take_next_run(self) -> Run | None:
        if not self.queue or len(self.decoding) >= self.batch:
            return None
        run = min(self.queue, key=lambda item: (item.priority, item.arrival_number))
        self.queue.remove(run)
        cached = 0
        for block in run.blocks:
            if block not in self.cache:
                break
            cached += BLOCK_TOKENS
        row = self.log[run.rid]
        row.cached = cached
        row.prefilled += run.prompt_tokens - cached
        run.remaining_prefill = max(1, run.prompt_tokens - cached)
        return run

    def _start_decoding(self, run: Run, now: float) -> None:
        self._update_cache(run.blocks)
        self.decoding.append(run)
        run.produced = 1
        run.next_token_at = now + self.gap_s * self.control.slow
        run.progress.set()

    def _update_cache(self, blocks: tuple[int, ...]) -> None:
        stored = [block for block in blocks if block not in self.cache]
        for block in blocks:
            self.cache[block] = None
            self.cache.move_to_end(block)
        evicted = []
        while len(self.cache) > self.cache_blocks:
            evicted.append(self.cache.popitem(last=False)[0])
        if not stored and not evicted:
            return
        self.event_number += 1
        event = {"number": self.event_number, "stored": stored, "evicted": evicted}
        if not self.control.lose_events:
            self.events.append(event)


class EngineApp:
    """WSGI application of one engine."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Iterator[bytes]:
        """Serve one request."""
        method = environ["REQUEST_METHOD"]
        path = environ.get("PATH_INFO", "/")
        if path in ("/v1/chat/completions", "/v1/completions"):
            return self._complete(environ, start)
        if path.startswith("/v1/runs/"):
            return self._serve_run(method, path[len("/v1/runs/") :], environ, start)
        body = environ["wsgi.input"].read()
        if path == "/control" and method == "POST":
            self.engine.control = msgspec.json.decode(body, type=Control)
            return json_response(start, {"ok": True})
        if path == "/log":
            rows = {rid: msgspec.to_builtins(row) for rid, row in self.engine.log.items()}
            return json_response(start, rows)
        if path == "/load":
            return json_response(start, {"running": _request_count(self.engine)})
        if path == "/v1/cache/events":
            after = int(parse_qs(environ.get("QUERY_STRING", "")).get("after", ["0"])[0])
            rows_after = [row for row in self.engine.events if row["number"] > after]
            return json_response(start, rows_after)
        if path == "/v1/orders" and method == "POST":
            applied = self.engine.apply_order(msgspec.json.decode(body, type=LoadOrder))
            status = "200 OK" if applied else "409 Conflict"
            return json_response(start, {"taken": applied}, status)
        if path == "/v1/state":
            return json_response(start, msgspec.to_builtins(self.engine.state))
        if path == "/orders":
            return json_response(start, msgspec.to_builtins(self.engine.orders))
        start("404 Not Found", [("Content-Length", "0")])
        return iter(())

    def _complete(self, environ: dict[str, Any], start: StartResponse) -> Iterator[bytes]:
        body = environ["wsgi.input"].read()
        if self.engine.control.refuse:
            return json_response(start, {"error": "busy"}, "503 Busy")
        try:
            completion = msgspec.json.decode(body, type=Completion)
        except msgspec.MsgspecError as exc:
            return json_response(start, {"error": str(exc)}, "400 Bad Request")
        rid = environ.get("HTTP_X_REQUEST_ID", "")
        priority = int(environ.get("HTTP_X_PRIORITY", "0"))
        rid = rid or f"probe-{self.engine._arrival_number}"
        run = self.engine.submit(rid, priority, completion)
        if completion.stream:
            return self._stream(run, 0, start, direct=not environ.get("HTTP_X_REQUEST_ID"))
        return self._respond_when_finished(run, start)

    def _serve_run(
        self, method: str, rid: str, environ: dict[str, Any], start: StartResponse
    ) -> Iterator[bytes]:
        if method == "DELETE":
            known = self.engine.cancel(rid)
            return json_response(start, {"cancelled": known})
        run = self.engine.runs.get(rid)
        if run is None or run.is_cancelled:
            return json_response(start, {"error": "unknown run"}, "404 Not Found")
        query = parse_qs(environ.get("QUERY_STRING", ""))
        return self._stream(run, int(query.get("offset", ["0"])[0]), start)

    def _respond_when_finished(self, run: Run, start: StartResponse) -> Iterator[bytes]:
        while not run.is_finished and not run.is_cancelled:
            run.progress.wait(1.0)
        text = "".join(run.token(index) for index in range(run.produced))
        row = self.engine.log[run.rid]
        choice = {"index": 0, "message": {"role": "assistant", "content": text}}
        headers = _work_headers(row)
        return json_response(start, {"id": run.rid, "choices": [choice]}, headers=headers)

    def _stream(
        self, run: Run, offset: int, start: StartResponse, *, direct: bool = False
    ) -> Iterator[bytes]:
        while run.produced == 0 and not run.is_cancelled:
            run.progress.wait(1.0)
        headers = [("Content-Type", "text/event-stream")]
        start("200 OK", headers + _work_headers(self.engine.log[run.rid]))
        return self._events(run, offset, direct)

    def _events(self, run: Run, next_index: int, direct: bool) -> Iterator[bytes]:
        cut_after = self.engine.control.cut_after
        first_index = next_index
        while not run.is_cancelled:
            ready = list(range(next_index, run.produced))
            if self.engine.control.reorder:
                ready.reverse()
            if (
                cut_after
                and run.produced - first_index >= cut_after
                and not run.is_finished
            ):
                self.engine.control.cut_after = 0
                raise ConnectionResetError
            if ready:
                next_index = run.produced
                yield b"".join(self._encode_event(run, index, direct) for index in ready)
            if run.is_finished and next_index >= run.output_tokens:
                break
            run.progress.wait(1.0)
        if not run.is_cancelled:
            number = b"" if direct else f"id: {run.output_tokens}\n".encode()
            yield number + b"data: [DONE]\n\n"

    @staticmethod
    def _encode_event(run: Run, index: int, direct: bool) -> bytes:
        choice = {"index": 0, "delta": {"content": run.token(index)}}
        data = msgspec.json.encode({"id": run.rid, "choices": [choice]})
        number = b"" if direct else f"id: {index}\n".encode()
        return number + b"data: " + data + b"\n\n"


def _request_count(engine: Engine) -> int:
    """Return the number of requests in the engine, as its load report states it."""
    return len(engine.queue) + len(engine.decoding) + int(engine._prefilling is not None)


def _work_headers(row: LogRow) -> list[tuple[str, str]]:
    return [
        ("X-Prefill-Tokens", str(row.prefilled)),
        ("X-Cached-Tokens", str(row.cached)),
    ]


def json_response(
    start: StartResponse,
    value: Any,  # noqa: ANN401
    status: str = "200 OK",
    headers: list[tuple[str, str]] | None = None,
) -> Iterator[bytes]:
    """Start a JSON response and return its body."""
    body = msgspec.json.encode(value)
    common = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    start(status, common + (headers or []))
    return iter((body,))


def serve(app: Any, ip: str, port: int) -> None:  # noqa: ANN401
    """Print the port and serve a WSGI application, without end."""
    sock = eventlet.listen((ip, port), backlog=1024)
    click.echo(f"listening {sock.getsockname()[1]}")
    eventlet.wsgi.server(
        sock, app, log_output=False, max_size=4000, minimum_chunk_size=1, debug=False
    )


@click.command()
@click.option("--ip", default="127.0.0.1", help="IP address to listen on.")
@click.option("--port", default=0, help="Port; 0 picks a free one.")
@click.option("--prefill-rate", default=4000.0, help="Prompt tokens prefilled per second.")
@click.option("--gap-ms", default=20.0, help="Milliseconds between two tokens.")
@click.option("--batch", default=8, help="Requests decoded at once.")
@click.option(
    "--cache-blocks", default=4096, help="Capacity of the prefix cache in blocks."
)
def main(
    ip: str,
    port: int,
    prefill_rate: float,
    gap_ms: float,
    batch: int,
    cache_blocks: int,
) -> None:
    """Run one engine stand-in."""
    engine = Engine(prefill_rate, gap_ms / 1000, batch, cache_blocks)
    _green.spawn(engine.run_forever)
    serve(EngineApp(engine), ip, port)


if __name__ == "__main__":
    main()
