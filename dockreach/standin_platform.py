"""A stand-in for the platform: its configuration service and its VM list.

It serves the two published calls and counts them. The VM list lags behind what was
published, and the whole stand-in can be set to be down or to return stale or invalid
data. Tests publish through ``/admin``; daemons only read.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from typing import Any
from urllib.parse import parse_qs

import click
import msgspec

from . import _green
from .messages import VmRow
from .standin_engine import json_response, serve

POLL_INTERVAL_S = 0.05


class Admin(msgspec.Struct):
    """A change of the platform's state; a missing field stays as it is."""

    config: str | None = None
    revision: int | None = None
    vms: list[VmRow] | None = None
    mode: str | None = None


class PlatformApp:
    """WSGI application of the platform."""

    def __init__(self, lag_s: float) -> None:
        self.lag_s = lag_s
        self.config = ""
        self.revision = 0
        self.mode = "up"
        self.calls: dict[str, int] = {}
        self._vm_lists: list[tuple[float, int, list[VmRow]]] = [(0.0, 0, [])]

    def __call__(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterator[bytes]:
        """Serve one request."""
        path = environ.get("PATH_INFO", "/")
        if path == "/admin":
            return self._apply_admin(environ["wsgi.input"].read(), start)
        if path == "/calls":
            return json_response(start, self.calls)
        self.calls[path] = self.calls.get(path, 0) + 1
        if self.mode == "down":
            return json_response(start, {"error": "down"}, "503 Down")
        if self.mode == "rubbish":
            start("200 OK", [])
            return iter((b"\xff\xfe rubbish",))
        if path == "/v1/config":
            return self._serve_config(environ, start)
        if path == "/v1/vms":
            _, version, rows = self._visible_vm_list()
            return json_response(
                start, {"version": version, "vms": msgspec.to_builtins(rows)}
            )
        return json_response(start, {"error": "not found"}, "404 Not Found")

    def _apply_admin(self, body: bytes, start: Callable[..., Any]) -> Iterator[bytes]:
        admin = msgspec.json.decode(body, type=Admin)
        if admin.config is not None:
            self.config = admin.config
        if admin.revision is not None:
            self.revision = admin.revision
        if admin.mode is not None:
            self.mode = admin.mode
        if admin.vms is not None:
            version = self._vm_lists[-1][1] + 1
            self._vm_lists.append((time.monotonic() + self.lag_s, version, admin.vms))
        return json_response(start, {"ok": True})

    def _visible_vm_list(self) -> tuple[float, int, list[VmRow]]:
        now = time.monotonic()
        while len(self._vm_lists) > 1 and self._vm_lists[1][0] <= now:
            self._vm_lists.pop(0)
        return self._vm_lists[0]

    def _serve_config(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterator[bytes]:
        query = parse_qs(environ.get("QUERY_STRING", ""))
        after = int(query.get("after", ["0"])[0])
        deadline = time.monotonic() + float(query.get("wait", ["0"])[0])
        while self.revision <= after and self.mode == "up":
            if time.monotonic() >= deadline:
                start("304 Not Modified", [("Content-Length", "0")])
                return iter(())
            _green.sleep(POLL_INTERVAL_S)
        body = self.config.encode()
        start("200 OK", [("Content-Length", str(len(body)))])
        return iter((body,))


@click.command()
@click.option("--ip", default="127.0.0.1", help="IP address to listen on.")
@click.option("--port", default=0, help="Port; 0 picks a free one.")
@click.option(
    "--lag-ms",
    default=200.0,
    help="Delay until a published VM list is visible, in milliseconds.",
)
def main(ip: str, port: int, lag_ms: float) -> None:
    """Run the platform stand-in."""
    serve(PlatformApp(lag_ms / 1000), ip, port)


if __name__ == "__main__":
    main()
