"""A stand-in for a worker of a plain service, which logs each request that it ran."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import click

from . import _green
from .standin_engine import json_response, serve


class ServiceApp:
    """WSGI application of one worker: every path returns a description of the request."""

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.log: dict[str, int] = {}

    def __call__(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterator[bytes]:
        """Serve one request."""
        path = environ.get("PATH_INFO", "/")
        body = environ["wsgi.input"].read()
        if path == "/log":
            return json_response(start, self.log)
        rid = environ.get("HTTP_X_REQUEST_ID", "")
        self.log[rid] = self.log.get(rid, 0) + 1
        _green.sleep(self.delay_s)
        response = {
            "method": environ["REQUEST_METHOD"],
            "path": path,
            "query": environ.get("QUERY_STRING", ""),
            "body": body.decode(errors="replace"),
        }
        return json_response(start, response)


@click.command()
@click.option("--ip", default="127.0.0.1", help="IP address to listen on.")
@click.option("--port", default=0, help="Port; 0 picks a free one.")
@click.option("--delay-ms", default=20.0, help="Milliseconds that each request takes.")
def main(ip: str, port: int, delay_ms: float) -> None:
    """Run one worker of a plain service."""
    serve(ServiceApp(delay_ms / 1000), ip, port)


if __name__ == "__main__":
    main()
