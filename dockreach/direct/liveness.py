"""Checks that an endpoint lives on after it closed the connection of a response.

A response without a length ends with its connection. When a process ends, however, the
kernel closes its connections in the same way, wherever their responses have got to. So such
an end is believed only if the endpoint's process has outlived it, which a new connection
shows: it is refused, or reset before it is accepted, when no process is left to serve it.
"""

from __future__ import annotations

import math
import traceback
from typing import TYPE_CHECKING, NamedTuple

import eventlet
from eventlet.event import Event as Signal

from .. import clock
from ..events import Event, log
from .endpoint_connection import IdleState
from .endpoints import EndpointRow, EndpointTable
from .http1 import ConnectError, SilentError
from .pool import ConnectionPool

if TYPE_CHECKING:
    from .context import Counters

SETTLE_S = 0.02
"""How long a new connection is watched at least, in seconds: a process that ends closes its
listener after the connection of a response, and only then are new ones reset."""

STREAM_SETTLE_S = 0.15
"""The same at the end of a stream, whose events have been passed on: on a busy machine a
process takes longer to end."""


MAX_TIMED_OUT_CONNECTS = 3
"""Connection attempts without any reaction after which a check gives up: one may be lost,
or find the endpoint's queue of connections full."""


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

    Attributes:
        settle_s: How long a new connection is watched, in seconds.
    """

    def __init__(self, address: str, max_idle: int) -> None:
        self.address = address
        self.max_idle = max_idle
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
        counters: Where the checks are counted.
    """

    def __init__(
        self, pool: ConnectionPool, endpoints: EndpointTable, counters: Counters
    ) -> None:
        self._pool = pool
        self._endpoints = endpoints
        self._counters = counters
        self._waiting: dict[EndpointRow, LivenessCheck] = {}
        self._running: set[EndpointRow] = set()

    def begin(
        self, row: EndpointRow, max_idle: int, *, settle_s: float = SETTLE_S
    ) -> LivenessCheck:
        """Return a check of an endpoint that begins after this call.

        One that is under way may have seen the endpoint before a response of it ended.

        Args:
            row: The endpoint.
            max_idle: Maximum number of idle connections to it.
            settle_s: How long to watch a new connection at least, in seconds.
        """
        check = self._waiting.get(row) or LivenessCheck(row.published.address, max_idle)
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
        """
        for _ in range(MAX_TIMED_OUT_CONNECTS - 1):
            try:
                return self._try_connection(row, check)
            except ConnectError as exc:
                if not isinstance(exc.__cause__, TimeoutError):
                    raise
        return self._try_connection(row, check)

    def _try_connection(self, row: EndpointRow, check: LivenessCheck) -> IdleState:
        """Open a connection, and watch it until it ends or the check's time has passed.

        Returns:
            Its state; one that is open is pooled.

        Raises:
            ConnectError: No connection could be opened.
        """
        try:
            conn = self._pool.open(check.address)
        except ConnectError as exc:
            if not isinstance(exc.__cause__, ConnectionResetError):
                raise
            return IdleState.RESET
        is_kept = False
        try:
            state = conn.watch_idle(check.settle_s)
            is_kept = state is IdleState.OPEN and self._is_current(row)
        finally:
            if not is_kept:
                conn.close()
        if is_kept:
            self._pool.put_unused(conn, check.max_idle)
        return state

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
