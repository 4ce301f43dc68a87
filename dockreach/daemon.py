"""``dockreachd``: the program that runs an entry or an agent."""

from __future__ import annotations

from . import _green

_green.install()

import logging  # noqa: E402
import os  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
from typing import Any  # noqa: E402

import click  # noqa: E402
import eventlet  # noqa: E402
import eventlet.wsgi  # noqa: E402

from . import __version__  # noqa: E402
from .agent_node import AgentNode  # noqa: E402
from .caller_api import SOCKET_ENVIRON_KEY  # noqa: E402
from .entry_node import EntryNode  # noqa: E402
from .errors import SettingsError  # noqa: E402
from .events import Event, configure_logging, log  # noqa: E402
from .settings import Settings, load  # noqa: E402

INVALID_SETTINGS_EXIT_CODE = 2
DRAIN_POLL_INTERVAL_S = 0.1
UNREADY_NOTICE_S = 1.0
"""Time between the first failed readiness check and the first check for remaining
requests."""


class _Protocol(eventlet.wsgi.HttpProtocol):  # type: ignore[misc]
    """Gives the application the caller's socket, to detect that the caller has left."""

    def get_environ(self) -> dict[str, Any]:
        environ: dict[str, Any] = super().get_environ()
        environ[SOCKET_ENVIRON_KEY] = self.connection
        return environ


def run(settings: Settings) -> None:
    """Run a daemon until a signal stops it and its work in progress has ended."""
    entry = settings.daemon.role == "entry"
    node: EntryNode | AgentNode = EntryNode(settings) if entry else AgentNode(settings)
    sock = _listen(settings.listen.http)
    link_port = _green.run_coroutine(node.open_links())
    app = node.app if isinstance(node, EntryNode) else node.pages
    _green.spawn(_serve, sock, app, settings)
    node.start()
    stop = _StopRequest()
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    http_port = sock.getsockname()[1]
    log(Event.STARTED, role=settings.daemon.role, http=http_port, link=link_port)
    while not stop.is_requested:
        _green.sleep(DRAIN_POLL_INTERVAL_S)
    log(Event.STOPPING)
    node.leave()
    _green.sleep(UNREADY_NOTICE_S)
    while not node.drained():
        _green.sleep(DRAIN_POLL_INTERVAL_S)
    _green.run_coroutine(node.links.stop())
    log(Event.STOPPED)
    # Does not wait for gRPC's poller thread, which would delay the interpreter's exit.
    os._exit(0)


class _StopRequest:
    """A signal handler that only records that a stop was requested."""

    def __init__(self) -> None:
        self.is_requested = False

    def __call__(self, number: int, frame: object) -> None:
        del number, frame
        self.is_requested = True


def _listen(address: str) -> Any:  # noqa: ANN401
    host, _, port = address.rpartition(":")
    return eventlet.listen((host, int(port)), backlog=1024)


def _serve(sock: Any, app: Any, settings: Settings) -> None:  # noqa: ANN401
    eventlet.wsgi.server(
        sock,
        app,
        max_size=settings.limits.callers,
        protocol=_Protocol,
        socket_timeout=settings.limits.sender_s,
        log=logging.getLogger("dockreach.http"),
        log_output=False,
        minimum_chunk_size=1,
        debug=False,
    )


@click.command()
@click.option("--config", "path", required=True, help="Settings file in INI.")
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.version_option(__version__, prog_name="dockreachd")
def main(path: str, check: bool) -> None:
    """Run one dockreach daemon: an entry, or an agent beside an endpoint."""
    try:
        settings = load(path)
    except SettingsError as exc:
        click.echo(f"dockreachd: {exc}", err=True)
        sys.exit(INVALID_SETTINGS_EXIT_CODE)
    if check:
        click.echo(f"{path}: settings are valid")
        return
    configure_logging(settings.daemon.name, settings.log.level)
    run(settings)


if __name__ == "__main__":
    main()
