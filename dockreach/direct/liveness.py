"""Checks that an endpoint lives on after it closed the connection of a response.

A response without a length ends with its connection. When a process ends, however, the
kernel closes its connections in the same way, wherever their responses have got to. So such
an end is believed only if the endpoint's process has outlived it.

A response that names the endpoint proves that, if it is one to a request that was sent
after the end: a process that ends answers nothing, and each start of one has another id.
The check therefore asks for the endpoint's health on a new connection. That this connection
opens, or stays open, proves nothing: the kernel accepts it for a process that is stopped,
and another process may have taken the port. An endpoint that doesn't answer in time is
still believed if another connection to it, opened before the end, is open then.

Where nobody can be asked, since the service has no health path or its endpoints leave their
id out, a new connection has to do, since otherwise no such response could be delivered: it
is refused, or reset before it is accepted, when no process is left to serve it.
"""

from __future__ import annotations

import math
import traceback
from collections.abc import Mapping
from typing import TYPE_CHECKING, NamedTuple

import eventlet
from eventlet.event import Event as Signal

from .. import clock
from ..errors import DockreachError
from ..events import Event, log
from .endpoint_connection import EndpointConnection, IdleState
from .endpoints import Connection, EndpointRow, EndpointTable
from .http1 import ConnectError, ResponseError, SilentError
from .pool import ConnectionPool
from .protocol_adapter import ProtocolAdapter
from .requests import Responder
from .routing_config import Service

if TYPE_CHECKING:
    from .context import Counters

SETTLE_S = 0.02
"""How long a new connection is watched if nobody can be asked, in seconds: a process that
ends closes its listener after the connection of a response, and only then are new ones
reset."""

STREAM_SETTLE_S = 0.15
"""The same at the end of a stream, whose events have been passed on: on a busy machine a
process takes longer to end."""

HEALTH_TIMEOUT_S = 4.0
"""How long to wait for the response to a health check, which may wait for a slot, in
seconds. Callers give a stream up after a pause of some seconds."""

MAX_TIMED_OUT_CONNECTS = 3
"""Connection attempts without any reaction after which a check gives up: one may be lost,
or find the endpoint's queue of connections full."""


class UnprovenError(DockreachError):
    """An endpoint has not proven that its process lives on."""


class Liveness(NamedTuple):
    """What a check has shown.

    Attributes:
        problem: Why the endpoint may have ended; empty if it lives on.
        is_refused: Whether no process listens at its address.
    """

    problem: str = ""
    is_refused: bool = False


class LivenessCheck:
    """One check of an endpoint, which any number of responses wait for.

    Args:
        address: The endpoint's IP address and port.
        max_idle: Maximum number of idle connections to it.
        older: Connections to it that are in use; any may have ended.

    Attributes:
        settle_s: How long a new connection is watched if nobody can be asked, in seconds.
    """

    def __init__(
        self, address: str, max_idle: int, older: frozenset[Connection] = frozenset()
    ) -> None:
        self.address = address
        self.max_idle = max_idle
        self.older = older
        self.settle_s = SETTLE_S
        self._done = Signal()

    def finish(self, liveness: Liveness) -> None:
        """Tell all that wait what the check has shown."""
        self._done.send(liveness)

    def wait(self, until: float) -> Liveness:
        """Wait for the end of the check; may be interrupted and repeated.

        Args:
            until: Monotonic time until which to wait, in seconds.

        Raises:
            SilentError: The check has not ended.
        """
        left_s = None if math.isinf(until) else max(until - clock.now(), 0.0)
        liveness: Liveness | None = self._done.wait(left_s)
        if liveness is None:
            raise SilentError(f"{self.address}: not known yet whether it lives on")
        return liveness


class LivenessChecks:
    """Checks endpoints, each with one new connection for all that wait.

    Args:
        pool: Opens the connections, and keeps those that stay open for later requests.
        endpoints: The endpoints that the platform lists.
        adapter: Encodes health checks.
        counters: Where the checks are counted.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        endpoints: EndpointTable,
        adapter: ProtocolAdapter,
        counters: Counters,
    ) -> None:
        self._pool = pool
        self._endpoints = endpoints
        self._adapter = adapter
        self._counters = counters
        self._services: Mapping[str, Service] = {}
        self._waiting: dict[EndpointRow, LivenessCheck] = {}
        self._running: set[EndpointRow] = set()

    def apply_services(self, services: Mapping[str, Service]) -> None:
        """Apply a configuration.

        Args:
            services: All services, by name.
        """
        self._services = services

    def begin(
        self, row: EndpointRow, max_idle: int, *, settle_s: float = SETTLE_S
    ) -> LivenessCheck:
        """Return a check of an endpoint that begins after this call.

        One that is under way may have seen the endpoint before a response of it ended.

        Args:
            row: The endpoint.
            max_idle: Maximum number of idle connections to it.
            settle_s: How long to watch a new connection at least if nobody can be asked,
                in seconds.
        """
        check = self._waiting.get(row) or LivenessCheck(
            row.published.address, max_idle, frozenset(row.connections)
        )
        check.settle_s = max(check.settle_s, settle_s)
        self._waiting[row] = check
        if row not in self._running:
            self._running.add(row)
            eventlet.spawn_n(self._run_waiting, row)
        return check

    def _run_waiting(self, row: EndpointRow) -> None:
        """Run the checks of an endpoint one after another."""
        try:
            while (check := self._waiting.pop(row, None)) is not None:
                liveness = self._run(row, check)
                check.finish(liveness)
                if liveness.is_refused and row in self._waiting:
                    # What ended meanwhile may have ended with the process, too.
                    self._waiting.pop(row).finish(liveness)
        finally:
            self._running.discard(row)

    def _run(self, row: EndpointRow, check: LivenessCheck) -> Liveness:
        self._counters.end_checks += 1
        try:
            state = self._try_repeatedly(row, check)
            if state is not IdleState.OPEN:
                # An endpoint that has all its connections in use resets further ones, as
                # does a listener that closes. By now, that refuses them, unless another
                # process has taken its port: the later, the likelier.
                state = self._try_connection(row, check)
        except ConnectError as exc:
            is_refused = isinstance(exc.__cause__, ConnectionRefusedError)
            return Liveness(str(exc), is_refused=is_refused)
        except UnprovenError as exc:
            return Liveness(str(exc))
        except Exception as exc:  # noqa: BLE001
            log(Event.INTERNAL_ERROR, repr(exc), trace=traceback.format_exc())
            return Liveness(f"{check.address}: internal error: {exc!r}")
        if state is IdleState.ENDED:
            # Like a proxy whose engine has exited.
            return Liveness(f"{check.address}: closes new connections")
        if not self._is_current(row):
            return Liveness(f"{check.address}: the endpoint's incarnation has ended")
        return Liveness()

    def _try_repeatedly(self, row: EndpointRow, check: LivenessCheck) -> IdleState:
        """Do the same as `_try_connection`, again if there is no reaction at all.

        Raises:
            ConnectError: No connection could be opened.
            UnprovenError: See `_try_connection`.
        """
        for _ in range(MAX_TIMED_OUT_CONNECTS - 1):
            try:
                return self._try_connection(row, check)
            except ConnectError as exc:
                if not isinstance(exc.__cause__, TimeoutError):
                    raise
        return self._try_connection(row, check)

    def _try_connection(self, row: EndpointRow, check: LivenessCheck) -> IdleState:
        """Open a connection, and ask the endpoint on it whether it lives on.

        Returns:
            The connection's state; if it is open, the endpoint lives on, and the connection
            is pooled where that is possible.

        Raises:
            ConnectError: No connection could be opened.
            UnprovenError: Another endpoint answered, or none.
        """
        try:
            conn = self._pool.open(check.address)
        except ConnectError as exc:
            if not isinstance(exc.__cause__, ConnectionResetError):
                raise
            return IdleState.RESET
        path = self._health_path(row)
        keep_alive_s: float | None = 0.0
        is_kept = False
        try:
            if path:
                state, keep_alive_s = self._ask(conn, row, check, path)
            else:
                state = conn.watch_idle(check.settle_s)
            is_kept = state is IdleState.OPEN and self._is_current(row)
        finally:
            if not is_kept:
                conn.close()
        if is_kept and path:
            self._pool.put(conn, keep_alive_s, check.max_idle)
        elif is_kept:
            self._pool.put_unused(conn, check.max_idle)
        return state

    def _health_path(self, row: EndpointRow) -> str:
        service = self._services.get(row.published.service)
        return service.health_path if service is not None else ""

    def _ask(
        self, conn: EndpointConnection, row: EndpointRow, check: LivenessCheck, path: str
    ) -> tuple[IdleState, float | None]:
        """Send a health check on a new connection, and wait for its response.

        Returns:
            The connection's state, and how long the endpoint keeps it open, in seconds.

        Raises:
            UnprovenError: Another endpoint answered, or none.
        """
        self._counters.end_probes += 1
        conn.read_until = clock.now() + HEALTH_TIMEOUT_S
        headers = self._adapter.health_headers(row.published)
        try:
            conn.send(b"GET", path.encode(), headers, None)
            health = self._adapter.read_health(conn.read_head(), row.id)
        except ResponseError as exc:
            is_reset = isinstance(exc.__cause__, ConnectionResetError)
            return IdleState.RESET if is_reset else IdleState.ENDED, 0.0
        except SilentError as exc:
            if not any(other.is_established() for other in check.older):
                raise UnprovenError(f"{exc} in answer to a health check") from exc
            return IdleState.OPEN, 0.0
        if health.responder is Responder.OTHER:
            raise UnprovenError(f"{check.address}: another endpoint answers")
        if health.responder is Responder.FAILURE:
            raise UnprovenError(f"{check.address}: a failure that names no endpoint")
        conn.drain_body()
        return IdleState.OPEN, health.keep_alive_s

    def _is_current(self, row: EndpointRow) -> bool:
        """Return whether no later process is known at an endpoint's address.

        An endpoint that is no longer listed may serve on for a while.
        """
        last = self._endpoints.last_incarnation(row.id)
        if last is None or last.incarnation != row.incarnation:
            return False
        if self._endpoints.get(row.id) is not None:
            return True
        address = row.published.address
        return all(other.published.address != address for other in self._endpoints)
