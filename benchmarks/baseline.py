"""Baselines: a plain load balancer that sends each request to an engine at once.

Two policies: round robin, and least load by the engines' own reports, which lag. Both
pass the tier on as the engine's priority and cancel requests of callers that
disconnect, so that a comparison shows only the effect of engine selection and queueing.
"""

from __future__ import annotations

from dockreach import _green

_green.install(with_asyncio=False)

import itertools  # noqa: E402
import random  # noqa: E402
import secrets  # noqa: E402
from collections.abc import Callable, Iterator  # noqa: E402
from typing import Any  # noqa: E402

import click  # noqa: E402
import msgspec  # noqa: E402
import urllib3  # noqa: E402

from dockreach.standin_engine import serve  # noqa: E402

LOAD_REPORT_LAG_S = 1.0
"""Interval at which the engines' load is polled, in seconds."""

SERVICE_PREFIX = "/services/records"
TIERS = {"bulletin": 0, "notice": 1, "lookup": 2}


class Balancer:
    """WSGI application of one baseline."""

    def __init__(self, policy: str, engines: list[str], workers: list[str]) -> None:
        self._policy = policy
        self._engines = engines
        self._workers = itertools.cycle(workers or engines)
        self._round_robin = itertools.cycle(engines)
        self._loads = dict.fromkeys(engines, 0)
        self._rng = random.Random(1)  # noqa: S311
        self._pool = urllib3.PoolManager(retries=False, maxsize=500)

    def __call__(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterator[bytes]:
        """Serve one request."""
        path = environ["PATH_INFO"]
        body = environ["wsgi.input"].read()
        target = self._select_engine()
        if path.startswith(SERVICE_PREFIX):
            target = next(self._workers)
            path = path[len(SERVICE_PREFIX) :]
        rid = "b-" + secrets.token_hex(8)
        tier = TIERS.get(environ.get("HTTP_DOCKREACH_TIER", ""), 0)
        headers = {"X-Request-Id": rid, "X-Priority": str(tier)}
        try:
            response = self._pool.request(
                environ["REQUEST_METHOD"],
                target + path,
                body=body or None,
                headers=headers,
                preload_content=False,
            )
        except (urllib3.exceptions.HTTPError, OSError):
            start("502 Bad Gateway", [("Content-Length", "0")])
            return iter(())
        start(f"{response.status} Answer", [("Dockreach-Request-Id", rid)])
        return _Relay(self._pool, response, f"{target}/v1/runs/{rid}")

    def _select_engine(self) -> str:
        if self._policy == "round-robin":
            return next(self._round_robin)
        lowest = min(self._loads.values())
        return self._rng.choice(
            [name for name, load in self._loads.items() if load == lowest]
        )

    def poll_loads(self) -> None:
        """Poll each engine's load at every interval, without end."""
        while True:
            for engine in self._engines:
                try:
                    response = self._pool.request("GET", f"{engine}/load", timeout=0.5)
                    self._loads[engine] = msgspec.json.decode(response.data)["running"]
                except (urllib3.exceptions.HTTPError, OSError):
                    self._loads[engine] = 1_000_000
            _green.sleep(LOAD_REPORT_LAG_S)


class _Relay:
    """Relays a response, and cancels the request if the caller disconnects."""

    def __init__(self, pool: urllib3.PoolManager, response: Any, cancel_url: str) -> None:  # noqa: ANN401
        self._pool = pool
        self._response = response
        self._cancel_url = cancel_url
        self._is_complete = False

    def __iter__(self) -> Iterator[bytes]:
        for chunk in self._response.stream(65536):
            # Engines send event ids for the agent; callers don't expect them.
            lines = chunk.split(b"\n")
            yield b"\n".join(line for line in lines if not line.startswith(b"id: "))
        self._is_complete = True

    def __next__(self) -> bytes:
        raise StopIteration

    def close(self) -> None:
        """Called when the response has ended or the caller has disconnected."""
        if not self._is_complete:
            self._pool.request("DELETE", self._cancel_url)
        self._response.release_conn()


@click.command()
@click.option("--policy", type=click.Choice(["round-robin", "least-load"]))
@click.option("--engine", "engines", multiple=True)
@click.option("--worker", "workers", multiple=True)
@click.option("--ip", default="127.0.0.1", help="IP address to listen on.")
def main(policy: str, engines: tuple[str, ...], workers: tuple[str, ...], ip: str) -> None:
    """Run one baseline on a free port."""
    balancer = Balancer(policy, list(engines), list(workers))
    _green.spawn(balancer.poll_loads)
    serve(balancer, ip, 0)


if __name__ == "__main__":
    main()
