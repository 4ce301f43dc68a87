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
BATCH_COST = 0.5
"""Relative increase of the time between tokens when the batch is full."""

KEPT_EVENTS = 500
DEFAULT_OUTPUT = 64

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
    order: int
    blocks: tuple[int, ...]
    prompt_tokens: int
    output_tokens: int
    seed: str
    left: float = 0.0
    produced: int = 0
    next_token: float = 0.0
    cancelled: bool = False
    wake: Any = field(default_factory=_green.Signal)

    @property
    def finished(self) -> bool:
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
        self.events: deque[dict[str, Any]] = deque(maxlen=KEPT_EVENTS)
        self.event_number = 0
        self.orders: list[LoadOrder] = []
        self.state = EndpointState()
        self._order = 0
        self._current: Run | None = None

    def submit(self, rid: str, priority: int, completion: Completion) -> Run:
        """Accept a request; the log counts it even if its id was seen before."""
        text = prompt_text(completion)
        limit = completion.max_completion_tokens or completion.max_tokens
        self._order += 1
        run = Run(
            rid=rid,
            priority=priority,
            order=self._order,
            blocks=block_hashes(text),
            prompt_tokens=estimate_tokens(text),
            output_tokens=limit or DEFAULT_OUTPUT,
            seed=blake2b(text.encode(), digest_size=3).hexdigest(),
        )
        row = self.log.setdefault(rid, LogRow())
        row.dispatched += 1
        self.runs[rid] = run
        self.queue.append(run)
        return run

    def order(self, order: LoadOrder) -> bool:
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
        if not run.finished:
            run.cancelled = True
            self.log[rid].ended = "cancelled"
        if run in self.queue:
            self.queue.remove(run)
        run.wake.set()
        return True

    def serve(self) -> None:
        """Advance the model in real time, without end."""
        last = time.monotonic()
        while True:
            _green.sleep(STEP_S if self._busy() else IDLE_STEP_S)
            now = time.monotonic()
            if not self.control.hang:
                self._step((now - last) / self.control.slow, now)
            last = now

    def _busy(self) -> bool:
        return bool(self.queue or self._current or self.decoding)

    def _step(self, elapsed: float, now: float) -> None:
        self._prefill(elapsed * self.prefill_rate, now)
        active = self.decoding
        gap = self.gap_s * (1 + BATCH_COST * len(active) / self.batch)
        gap *= self.control.slow
        for run in active:
            while run.next_token <= now and not run.finished:
                run.produced += 1
                run.next_token += gap
                run.wake.set()
            self.log[run.rid].generated = run.produced
            if run.finished:
                self.log[run.rid].ended = "whole"
        self.decoding = [run for run in active if not run.finished and not run.cancelled]

    def _prefill(self, budget: float, now: float) -> None:
        while budget > 0:
            run = self._current
            if run is None or run.cancelled:
                run = self._current = self._next()
            if run is None:
                return
            prefilled = min(budget, run.left)
            run.left -= prefilled
            budget -= prefilled
            if run.left <= 0:
                self._start_decoding(run, now)
                self._current = None

    def _next(self) -> Run | None:
        if not self.queue or len(self.decoding) >= self.batch:
            return None
        run = min(self.queue, key=lambda item: (item.priority, item.order))
        self.queue.remove(run)
        cached = 0
        for block in run.blocks:
            if block not in self.cache:
                break
            cached += BLOCK_TOKENS
        row = self.log[run.rid]
        row.cached = cached
        row.prefilled += run.prompt_tokens - cached
        run.left = max(1, run.prompt_tokens - cached)
        return run

    def _start_decoding(self, run: Run, now: float) -> None:
        self._store(run.blocks)
        self.decoding.append(run)
        run.produced = 1
        run.next_token = now + self.gap_s * self.control.slow
        run.wake.set()

    def _store(self, blocks: tuple[int, ...]) -> None:
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
            return self._run(method, path[len("/v1/runs/") :], environ, start)
        body = environ["wsgi.input"].read()
        if path == "/control" and method == "POST":
            self.engine.control = msgspec.json.decode(body, type=Control)
            return _json(start, {"ok": True})
        if path == "/log":
            rows = {rid: msgspec.to_builtins(row) for rid, row in self.engine.log.items()}
            return _json(start, rows)
        if path == "/load":
            return _json(start, {"running": _load(self.engine)})
        if path == "/v1/cache/events":
            after = int(parse_qs(environ.get("QUERY_STRING", "")).get("after", ["0"])[0])
            rows_after = [row for row in self.engine.events if row["number"] > after]
            return _json(start, rows_after)
        if path == "/v1/orders" and method == "POST":
            applied = self.engine.order(msgspec.json.decode(body, type=LoadOrder))
            status = "200 OK" if applied else "409 Conflict"
            return _json(start, {"taken": applied}, status)
        if path == "/v1/state":
            return _json(start, msgspec.to_builtins(self.engine.state))
        if path == "/orders":
            return _json(start, msgspec.to_builtins(self.engine.orders))
        start("404 Not Found", [("Content-Length", "0")])
        return iter(())

    def _complete(self, environ: dict[str, Any], start: StartResponse) -> Iterator[bytes]:
        body = environ["wsgi.input"].read()
        if self.engine.control.refuse:
            return _json(start, {"error": "busy"}, "503 Busy")
        try:
            completion = msgspec.json.decode(body, type=Completion)
        except msgspec.MsgspecError as exc:
            return _json(start, {"error": str(exc)}, "400 Bad Request")
        rid = environ.get("HTTP_X_REQUEST_ID", "")
        priority = int(environ.get("HTTP_X_PRIORITY", "0"))
        rid = rid or f"probe-{self.engine._order}"
        run = self.engine.submit(rid, priority, completion)
        if completion.stream:
            return self._stream(run, 0, start, direct=not environ.get("HTTP_X_REQUEST_ID"))
        return self._whole(run, start)

    def _run(
        self, method: str, rid: str, environ: dict[str, Any], start: StartResponse
    ) -> Iterator[bytes]:
        if method == "DELETE":
            known = self.engine.cancel(rid)
            return _json(start, {"cancelled": known})
        run = self.engine.runs.get(rid)
        if run is None or run.cancelled:
            return _json(start, {"error": "unknown run"}, "404 Not Found")
        query = parse_qs(environ.get("QUERY_STRING", ""))
        return self._stream(run, int(query.get("offset", ["0"])[0]), start)

    def _whole(self, run: Run, start: StartResponse) -> Iterator[bytes]:
        while not run.finished and not run.cancelled:
            run.wake.wait(1.0)
        text = "".join(run.token(index) for index in range(run.produced))
        row = self.engine.log[run.rid]
        choice = {"index": 0, "message": {"role": "assistant", "content": text}}
        headers = _work_headers(row)
        return _json(start, {"id": run.rid, "choices": [choice]}, headers=headers)

    def _stream(
        self, run: Run, offset: int, start: StartResponse, *, direct: bool = False
    ) -> Iterator[bytes]:
        while run.produced == 0 and not run.cancelled:
            run.wake.wait(1.0)
        headers = [("Content-Type", "text/event-stream")]
        start("200 OK", headers + _work_headers(self.engine.log[run.rid]))
        return self._events(run, offset, direct)

    def _events(self, run: Run, next_index: int, direct: bool) -> Iterator[bytes]:
        cut_after = self.engine.control.cut_after
        first_index = next_index
        while not run.cancelled:
            ready = list(range(next_index, run.produced))
            if self.engine.control.reorder:
                ready.reverse()
            if cut_after and run.produced - first_index >= cut_after and not run.finished:
                self.engine.control.cut_after = 0
                raise ConnectionResetError
            if ready:
                next_index = run.produced
                yield b"".join(self._event(run, index, direct) for index in ready)
            if run.finished and next_index >= run.output_tokens:
                break
            run.wake.wait(1.0)
        if not run.cancelled:
            number = b"" if direct else f"id: {run.output_tokens}\n".encode()
            yield number + b"data: [DONE]\n\n"

    @staticmethod
    def _event(run: Run, index: int, direct: bool) -> bytes:
        choice = {"index": 0, "delta": {"content": run.token(index)}}
        data = msgspec.json.encode({"id": run.rid, "choices": [choice]})
        number = b"" if direct else f"id: {index}\n".encode()
        return number + b"data: " + data + b"\n\n"


def _load(engine: Engine) -> int:
    """Return the number of requests in the engine, as its load report states it."""
    return len(engine.queue) + len(engine.decoding) + int(engine._current is not None)


def _work_headers(row: LogRow) -> list[tuple[str, str]]:
    return [
        ("X-Prefill-Tokens", str(row.prefilled)),
        ("X-Cached-Tokens", str(row.cached)),
    ]


def _json(
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


def serve(app: Any, port: int) -> None:  # noqa: ANN401
    """Print the port and serve a WSGI application on loopback, without end."""
    sock = eventlet.listen(("127.0.0.1", port), backlog=1024)
    click.echo(f"listening {sock.getsockname()[1]}")
    eventlet.wsgi.server(
        sock, app, log_output=False, max_size=4000, minimum_chunk_size=1, debug=False
    )


@click.command()
@click.option("--port", default=0, help="Port on loopback; 0 picks a free one.")
@click.option("--prefill-rate", default=4000.0, help="Prompt tokens prefilled per second.")
@click.option("--gap-ms", default=20.0, help="Milliseconds between two tokens.")
@click.option("--batch", default=8, help="Requests decoded at once.")
@click.option(
    "--cache-blocks", default=4096, help="Capacity of the prefix cache in blocks."
)
def main(
    port: int, prefill_rate: float, gap_ms: float, batch: int, cache_blocks: int
) -> None:
    """Run one engine stand-in."""
    engine = Engine(prefill_rate, gap_ms / 1000, batch, cache_blocks)
    _green.spawn(engine.serve)
    serve(EngineApp(engine), port)


if __name__ == "__main__":
    main()
