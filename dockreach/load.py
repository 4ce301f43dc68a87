"""A load generator that sends requests of several kinds and records their outcomes.

It is a development tool, like the stand-ins. Arrivals are a Poisson process with a
fixed seed, so that two runs send the same requests.
"""

from __future__ import annotations

import math
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgspec
import urllib3

from . import _green
from .prefix import CHARS_PER_TOKEN

DISCONNECT_AFTER_DEADLINE_S = 0.5
"""Time from a request's deadline until its caller disconnects, in seconds."""


@dataclass(slots=True, frozen=True)
class RequestKind:
    """One kind of request.

    Attributes:
        weight: Share of all requests, relative to the other kinds.
        prompt_tokens: Length of the prompt, in tokens.
        shared_tokens: Length of the prompt prefix that requests of this kind share.
        variants: Number of different shared prefixes.
        deadline_s: Time allowed for the complete response.
        service: Name of a plain service; empty for a completion.
    """

    name: str
    weight: float
    organisation: str
    tier: str
    prompt_tokens: int
    output_tokens: int
    shared_tokens: int = 0
    variants: int = 1
    deadline_s: float = 20.0
    model: str = "m"
    service: str = ""


class Outcome(NamedTuple):
    """Outcome of one request. Times are in seconds; ``None`` if never reached."""

    kind: str
    tier: str
    sent_at: float
    status: int
    verdict: str
    code: str
    rid: str
    is_complete: bool
    is_in_time: bool
    first_token_s: float | None
    total_s: float


@dataclass(slots=True)
class LoadGenerator:
    """Sends a load and collects its outcomes.

    Args:
        urls: The entries; each request goes to a random one, as behind a load balancer.
        kinds: Kinds of requests that are sent.
        seed: Seed of the random numbers, which makes the load reproducible.
    """

    urls: Sequence[str]
    kinds: Sequence[RequestKind]
    seed: int = 1
    outcomes: list[Outcome] = field(default_factory=list)
    sent: int = 0
    progress: Callable[[], None] | None = None
    extra_headers: dict[str, str] = field(default_factory=dict)

    def run(self, phases: Sequence[tuple[float, float]]) -> list[Outcome]:
        """Send requests and wait for all of them.

        Args:
            phases: Pairs of a duration in seconds and a rate in requests per second.
        """
        rng = random.Random(self.seed)  # noqa: S311
        pool = urllib3.PoolManager(retries=False, maxsize=500)
        greenlets = []
        start = time.monotonic()
        due_s = 0.0
        for seconds, rate in phases:
            phase_end_s = due_s + seconds
            while (due_s := due_s + rng.expovariate(rate)) < phase_end_s:
                wait = start + due_s - time.monotonic()
                _green.sleep(max(0.0, wait))
                kind = rng.choices(self.kinds, [item.weight for item in self.kinds])[0]
                call = Call(pool, rng.choice(self.urls), kind, rng.getrandbits(48), start)
                self.sent += 1
                greenlets.append(_green.spawn(self._run_call, call))
            due_s = phase_end_s
        for greenlet in greenlets:
            greenlet.wait()
        return self.outcomes

    def _run_call(self, call: Call) -> None:
        outcome = call.run(self.extra_headers)
        self.outcomes.append(outcome)
        if self.progress is not None:
            self.progress()


class Call:
    """One request of a caller."""

    def __init__(
        self,
        pool: urllib3.PoolManager,
        url: str,
        kind: RequestKind,
        number: int,
        start: float,
    ) -> None:
        self._pool = pool
        self._url = url
        self._kind = kind
        self._number = number
        self._load_started_at = start
        self._first_token_at: float | None = None

    def run(self, extra_headers: dict[str, str]) -> Outcome:
        """Send the request and read its response."""
        sent = time.monotonic()
        headers = self._headers() | extra_headers
        status, verdict, code, rid, is_complete = 0, "", "", "", False
        try:
            response = self._send_request(headers)
            status = response.status
            verdict = response.headers.get("Dockreach-Verdict", "")
            rid = response.headers.get("Dockreach-Request-Id", "")
            if status == 200:
                is_complete = self._read_response(response)
            else:
                code = _error_code(response.read())
            response.release_conn()
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            code = code or type(exc).__name__
        total = time.monotonic() - sent
        return Outcome(
            kind=self._kind.name,
            tier=self._kind.tier,
            sent_at=sent - self._load_started_at,
            status=status,
            verdict=verdict,
            code=code,
            rid=rid,
            is_complete=is_complete,
            is_in_time=is_complete and total <= self._kind.deadline_s,
            first_token_s=None
            if self._first_token_at is None
            else self._first_token_at - sent,
            total_s=total,
        )

    def _headers(self) -> dict[str, str]:
        kind = self._kind
        return {
            "Authorization": f"Bearer {kind.organisation}-key",
            "Content-Type": "application/json",
            "Dockreach-Tier": kind.tier,
            "Dockreach-Deadline-Ms": str(int(kind.deadline_s * 1000)),
        }

    def _send_request(self, headers: dict[str, str]) -> Any:  # noqa: ANN401
        kind = self._kind
        # Callers disconnect when the response can no longer arrive in time.
        timeout = urllib3.Timeout(
            connect=5.0, read=kind.deadline_s + DISCONNECT_AFTER_DEADLINE_S
        )
        if kind.service:
            path = f"{self._url}/services/{kind.service}/item/{self._number}"
            return self._pool.request(
                "GET", path, headers=headers, preload_content=False, timeout=timeout
            )
        body = {
            "model": kind.model,
            "messages": [{"role": "user", "content": self._prompt()}],
            "max_tokens": kind.output_tokens,
            "stream": True,
        }
        return self._pool.request(
            "POST",
            f"{self._url}/v1/chat/completions",
            body=msgspec.json.encode(body),
            headers=headers,
            preload_content=False,
            timeout=timeout,
        )

    def _prompt(self) -> str:
        """Return a prompt: a shared prefix, then text that only this request has."""
        kind = self._kind
        variant = self._number % kind.variants
        shared = _filler(f"{kind.name} {variant} ", kind.shared_tokens)
        unique = _filler(f"{self._number:x} ", kind.prompt_tokens - kind.shared_tokens)
        return shared + unique

    def _read_response(self, response: Any) -> bool:  # noqa: ANN401
        """Read a response; return whether it holds every token once and in order."""
        data = b""
        disconnect_at = (
            time.monotonic() + self._kind.deadline_s + DISCONNECT_AFTER_DEADLINE_S
        )
        for chunk in response.stream(65536):
            if self._first_token_at is None:
                self._first_token_at = time.monotonic()
            data += chunk
            if time.monotonic() > disconnect_at:
                response.close()
                return False
        if self._kind.service:
            return f"/item/{self._number}".encode() in data
        return _is_complete_stream(data, self._kind.output_tokens)


def _filler(text: str, tokens: int) -> str:
    length = max(0, tokens) * CHARS_PER_TOKEN
    return (text * (length // len(text) + 1))[:length]


def _is_complete_stream(data: bytes, tokens: int) -> bool:
    events = [part for part in data.split(b"\n\n") if part]
    if len(events) != tokens + 1 or events[-1] != b"data: [DONE]":
        return False
    return all(f'-{index} "'.encode() in event for index, event in enumerate(events[:-1]))


def _error_code(data: bytes) -> str:
    try:
        return str(msgspec.json.decode(data)["error"]["code"])
    except (msgspec.MsgspecError, KeyError, TypeError):
        return "unreadable"


def percentile(values: Sequence[float], fraction: float) -> float:
    """Return a percentile of the values; NaN if there are none."""
    if not values:
        return math.nan
    sorted_values = sorted(values)
    return sorted_values[min(len(sorted_values) - 1, int(fraction * len(sorted_values)))]
