"""Accepts callers' connections, serves their requests, and drains them at shutdown."""

from __future__ import annotations

import socket
import traceback
from collections.abc import Callable
from typing import Any, Protocol

import eventlet
import h11
from eventlet.greenio import GreenSocket

from .. import clock
from ..errors import CallerGoneError, ConnectionEvictedError, EntryStoppingError
from ..events import Event, log
from ..verdict import Reason, Refusal, Verdict
from .caller_connection import CallerConnection
from .connection_ends import AbandonCause, CloseCause
from .context import Context
from .evidence import refusal_of
from .http1 import BadRequestError, RawHead, RawRequest, reset
from .memory_room import NoRoomError, Reservation
from .patience import honoured_retry_after_s, max_retry_after_s
from .request_handler import OUTDATED_REFUSAL, RequestHandler, refusal_after_fault
from .request_summary import Party
from .requests import Header
from .routing_config import CallerLimits, ConfigRevision
from .stalled_callers import Activity, Evictor, is_stalled, is_waiting, stalled, waiting

ACCEPT_RETRY_DELAY_S = 0.1
"""Delay before the next accept after a failed one, in seconds."""

DRAIN_POLL_INTERVAL_S = 0.05
"""Interval at which a stopping entry checks for remaining connections, in seconds."""

NOT_SERVING_RETRY_AFTER_S = 0.1
"""Retry time for a caller that is refused because the entry has no configuration yet or is
stopping, in seconds: another entry can serve it, or this one soon."""

SERVE_WHILE_STOPPING_S = 2.5
"""Time after the signal to stop in which new requests are still served, in seconds: the
load balancer checks each second, and removes an entry after two failed checks."""

EXIT_MARGIN_S = 0.7
"""Requests are ended this long before the process would be killed, in seconds."""

LIMIT_STATUSES = frozenset({413, 431})
"""Statuses of requests that are larger than the configuration allows."""

LAST_DELIVERY_S = 0.2
"""Time in which callers may read the refusals of these requests, in seconds."""


class CallerStalledError(BadRequestError):
    """A caller has stopped sending its request, and others wait for the memory."""

    def __init__(self) -> None:
        super().__init__(408, "stopped sending while others wait for memory")


class ServingEntry(Protocol):
    """The attributes of an entry that are needed to serve callers."""

    stopping_since: float | None
    ctx: Context

    @property
    def revision(self) -> ConfigRevision | None:
        """The configuration in force; ``None`` before the first."""


def accept_all(
    listener: socket.socket,
    serve: Callable[[Any], None],
    admit: Callable[[], bool] = lambda: True,
) -> None:
    """Accept connections forever; serve each in a greenlet of its own.

    Args:
        listener: The listening socket.
        serve: Serves one connection.
        admit: Returns whether to serve the next connection, or to reset it unread.
    """
    green_listener = GreenSocket(listener)
    while True:
        try:
            sock, _ = green_listener.accept()
        except OSError as exc:
            log(Event.ACCEPT_FAILED, str(exc))
            eventlet.sleep(ACCEPT_RETRY_DELAY_S)
            continue
        if admit():
            eventlet.spawn_n(serve, sock)
        else:
            reset(sock)


class CallerServer:
    """Serves callers' connections.

    Args:
        entry: The entry.
    """

    def __init__(self, entry: ServingEntry) -> None:
        self._entry = entry
        self._connections: dict[CallerConnection, Any] = {}
        self._servers: dict[CallerConnection, Any] = {}
        self._is_exiting = False
        self._lingering: dict[CallerConnection, Any] = {}
        self._arriving = 0
        self._evictor: Evictor[CallerConnection] = Evictor()
        # Rested ones take a part of the room for which the plan allows.
        self._memory_evictor: Evictor[CallerConnection] = Evictor(
            kept=(Activity.RESTED, Activity.WAITING)
        )
        self._draining_since: float | None = None

    def __len__(self) -> int:
        return len(self._connections)

    def serve(self, sock: Any) -> None:  # noqa: ANN401
        """Serve one connection until it ends."""
        self._arriving = max(self._arriving - 1, 0)
        try:
            conn = CallerConnection(
                sock,
                self._caller_limits,
                reserve_body=self._reserve_body,
                memory=self._entry.ctx.memory,
            )
        except OSError:
            # The caller reset the connection before it was served.
            sock.close()
            return
        self._connections[conn] = eventlet.getcurrent()
        cause = CloseCause.CALLER
        try:
            cause = self._serve_connection(conn)
        except CallerGoneError:
            self._entry.ctx.counters.callers_gone += 1
            if not conn.is_accounted:
                self._log_abandoned(conn, AbandonCause.LEFT_UNSERVED, Party.CALLER)
        except EntryStoppingError:
            cause = CloseCause.STOPPING
        except ConnectionEvictedError:
            cause = CloseCause.EVICTED
        except Exception as exc:  # noqa: BLE001
            # An unexpected error ends one connection and not the entry.
            cause = CloseCause.INTERNAL_ERROR
            self._end_after_fault(conn, exc)
        finally:
            del self._connections[conn]
            self._entry.ctx.ends.closed[cause] += 1
            self._close(conn)

    def _close(self, conn: CallerConnection) -> None:
        self._lingering[conn] = eventlet.getcurrent()
        try:
            conn.close()
        finally:
            del self._lingering[conn]

    def _end_after_fault(self, conn: CallerConnection, exc: Exception) -> None:
        """Refuse the request after an unexpected error; reset a partial response."""
        self._entry.ctx.counters.internal_errors += 1
        rid = self._rid(conn)
        log(Event.INTERNAL_ERROR, repr(exc), trace=traceback.format_exc(), rid=rid)
        if conn.is_complete:
            return
        try:
            if conn.received_at is not None and not conn.head_sent:
                conn.is_closing = True
                refusal = refusal_after_fault(may_have_run=conn.is_accounted)
                conn.send_response(*self._entry.ctx.adapter.refusal(refusal, rid))
                return
            conn.abort()
        except (CallerGoneError, h11.LocalProtocolError):
            conn.abort()
        finally:
            self._log_abandoned(conn, AbandonCause.INTERNAL_ERROR, Party.ENTRY)

    def _caller_limits(self) -> CallerLimits:
        """Return the limits of the configuration in force."""
        revision = self._entry.revision
        return revision.limits if revision else CallerLimits()

    def _log_abandoned(
        self, conn: CallerConnection, cause: AbandonCause, ended_by: Party
    ) -> None:
        """Log and count a request that was read whole and has no other last line."""
        if conn.received_at is None:
            return
        self._entry.ctx.ends.abandoned[cause] += 1
        log(
            Event.REQUEST_ABANDONED,
            rid=self._rid(conn),
            cause=cause.value,
            ended_by=ended_by.value,
            head_sent=conn.head_sent,
            sent_bytes=conn.sent_bytes,
            held_ms=round((clock.now() - conn.received_at) * 1000),
        )

    def _rid(self, conn: CallerConnection) -> str:
        return self._entry.ctx.adapter.request_id(conn.headers)

    def _serve_connection(self, conn: CallerConnection) -> CloseCause:
        """Serve the requests of a connection; return why it is to be closed."""
        while True:
            try:
                if not self._serve_next(conn):
                    return CloseCause.IDLE if conn.has_idled else CloseCause.CALLER
            except CallerStalledError as exc:
                self._refuse_malformed(conn, exc)
                return CloseCause.STALLED
            except BadRequestError as exc:
                self._refuse_malformed(conn, exc)
                return CloseCause.BAD_REQUEST
            except NoRoomError as exc:
                self._refuse_for_room(conn, exc)
                return CloseCause.NO_ROOM
            conn.release_body()
            if not conn.prepare_next_request():
                return CloseCause.ANNOUNCED if conn.is_complete else CloseCause.CUT

    def _serve_next(self, conn: CallerConnection) -> bool:
        """Serve the next request, and keep nothing of it; return whether there was one."""
        raw = conn.read_request()
        if raw is None:
            return False
        conn.is_draining = self._entry.stopping_since is not None
        self._serve_watched(conn, raw)
        return True

    def _reserve_body(self, size: int, headers: list[Header]) -> Reservation:
        """Reserve room for a body, and wait for it for a part of the caller's time.

        Raises:
            NoRoomError: There was no room in time.
            BadRequestError: The caller's deadline is not valid.
        """
        ctx = self._entry.ctx
        if ctx.memory.may_reserve_body(size):
            return ctx.memory.reserve_body(size, 0.0)
        left_s = self._time_to_read_s(headers)
        wait_s = max_retry_after_s(left_s, 0.0)
        try:
            return ctx.memory.reserve_body(size, wait_s)
        except NoRoomError as exc:
            exc.retry_after_s = honoured_retry_after_s(exc.retry_after_s, left_s, wait_s)
            raise

    def _time_to_read_s(self, headers: list[Header]) -> float:
        """Return in which time a request must be read, in seconds."""
        timeout_s = self._caller_limits().header_timeout_s
        left_s = self._entry.ctx.adapter.time_left_s(headers)
        return timeout_s if left_s is None else min(left_s, timeout_s)

    def _refuse_for_room(self, conn: CallerConnection, exc: NoRoomError) -> None:
        conn.is_accounted = True
        conn.is_closing = True
        conn.progress.begin(Activity.CLOSING, clock.now())
        rid = self._rid(conn)
        log(Event.REQUEST_REFUSED, str(exc), rid=rid, reason=Reason.MEMORY.value)
        after_s = honoured_retry_after_s(
            exc.retry_after_s, self._time_to_read_s(conn.headers), 0.0
        )
        refusal = Refusal(Verdict.NOT_RUN, Reason.MEMORY, str(exc), retry_after_s=after_s)
        conn.send_response(*self._entry.ctx.adapter.refusal(refusal, rid))

    def end_stalled(self, now: float) -> None:
        """Refuse callers that have stopped sending, while others wait for memory.

        Args:
            now: Monotonic time, in seconds.
        """
        memory = self._entry.ctx.memory
        if not memory.is_short:
            return
        self._end_those_that_left()
        for conn in stalled(list(self._connections), now):
            rooms = [memory.input, *([memory.bodies] if conn.holds_large_body else [])]
            is_short = any(room.missing_bytes > 0 for room in rooms)
            # Others may have gone on while one was ended, or this process stood still.
            if is_short and is_stalled(conn.progress, now) and not conn.has_input:
                eventlet.kill(self._connections[conn], CallerStalledError())
        self._close_silent(now)
        self._refuse_waiting(now)

    def _end_those_that_left(self) -> None:
        """End requests that wait for room and whose callers have closed the connection."""
        for conn, greenlet in list(self._connections.items()):
            if conn.progress.activity is Activity.WAITING and conn.has_hung_up():
                eventlet.kill(greenlet, CallerGoneError("caller left while it waited"))

    def _close_silent(self, now: float) -> None:
        """Close connections that send nothing while others wait for what they take."""
        memory = self._entry.ctx.memory
        while memory.input.missing_bytes > 0:
            if not self._memory_evictor.evict(self._greenlets, now):
                return

    def _refuse_waiting(self, now: float) -> None:
        """Refuse requests that hold their heads while they wait for room themselves."""
        memory = self._entry.ctx.memory
        for conn in waiting(list(self._connections), now):
            if memory.input.missing_bytes <= 0:
                return
            if is_waiting(conn.progress, now):
                exc = memory.input.refuse(conn.progress.expected)
                eventlet.kill(self._connections[conn], exc)

    def _greenlets(self) -> dict[CallerConnection, Any]:
        """Return the greenlets that serve or close connections."""
        return {**self._lingering, **self._connections}

    def make_way(self, now: float) -> bool:
        """Close a silent connection if callers have as many as they may have.

        Args:
            now: Monotonic time, in seconds.

        Returns:
            Whether there is a place for a new connection.
        """
        count = len(self._lingering) + len(self._connections) + self._arriving
        is_full = count >= self._entry.ctx.memory.max_connections
        if is_full and not self._evictor.evict(self._greenlets, now):
            return False
        # It is not among the connections until its greenlet runs.
        self._arriving += 1
        return True

    def _serve_watched(self, conn: CallerConnection, raw: RawRequest) -> None:
        """Serve a request; stop at once when the caller closes its connection.

        Raises:
            CallerGoneError: The caller closed its connection.
        """
        # An entry whose process was suspended for a while finds requests whose callers have
        # given up already: none of them may reach an endpoint.
        if conn.has_disconnected():
            raise CallerGoneError("caller closed its connection before it was served")
        server = eventlet.spawn(self._serve_catching_errors, conn, raw)
        watcher = eventlet.spawn(self._stop_on_disconnect, conn, server)
        self._servers[conn] = server
        try:
            error: Exception | None = server.wait()
        finally:
            del self._servers[conn]
            watcher.kill()
        if error is not None:
            raise error

    def _serve_catching_errors(
        self, conn: CallerConnection, raw: RawRequest
    ) -> Exception | None:
        """Serve a request; return the error that ended it, if any.

        eventlet prints errors that end a greenlet, and callers disconnect all the time.
        """
        try:
            self._serve_request(conn, raw)
        except Exception as exc:  # noqa: BLE001
            return exc
        return None

    @staticmethod
    def _stop_on_disconnect(conn: CallerConnection, server: Any) -> None:  # noqa: ANN401
        conn.wait_for_disconnect()
        server.kill(CallerGoneError("caller closed its connection"))

    def _serve_request(self, conn: CallerConnection, raw: RawRequest) -> None:
        req = self._entry.ctx.adapter.read_request(raw, clock.now())
        revision = self._entry.revision
        conn.is_accounted = True
        if revision is None or self._is_too_late_to_serve():
            reason = Reason.STOPPING if revision else Reason.NOT_READY
            refusal = Refusal(
                Verdict.NOT_RUN, reason, retry_after_s=NOT_SERVING_RETRY_AFTER_S
            )
            log(Event.REQUEST_REFUSED, rid=req.rid, reason=reason.value)
            conn.send_response(*self._entry.ctx.adapter.refusal(refusal, req.rid))
            return
        RequestHandler(self._entry.ctx, revision, req, conn).run()

    def _is_too_late_to_serve(self) -> bool:
        """Return whether a request that is accepted now might not end before the exit."""
        if self._is_exiting:
            return True
        since = self._entry.stopping_since
        return since is not None and clock.now() > since + SERVE_WHILE_STOPPING_S

    def _refuse_malformed(self, conn: CallerConnection, exc: BadRequestError) -> None:
        conn.is_accounted = True
        conn.progress.begin(Activity.CLOSING, clock.now())
        log(Event.BAD_REQUEST, str(exc), status=exc.status, rid=self._rid(conn))
        if conn.head_sent:
            return
        conn.is_closing = True
        adapter = self._entry.ctx.adapter
        proposed: Refusal | None = None
        if adapter.promises_not_run(exc.status):
            proposed = Refusal(Verdict.NOT_RUN, Reason.CALLER_STALLED)
        elif exc.status in LIMIT_STATUSES and not self._has_current_limits():
            proposed = OUTDATED_REFUSAL
        if proposed is not None:
            refusal = refusal_of(proposed, may_have_run=conn.received_at is not None)
            conn.send_response(*adapter.refusal(refusal, self._rid(conn)))
            return
        conn.send_response(RawHead(exc.status, b"Bad Request", []), b"")

    def _has_current_limits(self) -> bool:
        """Return whether the limits in force are those that callers may rely on."""
        max_wait_s = max_retry_after_s(self._caller_limits().header_timeout_s, 0.0)
        return self._entry.ctx.configuration.confirm(clock.now(), max_wait_s)

    def drain(
        self,
        since: float,
        grace_s: float,
        stop_accepting: Callable[[], None] = lambda: None,
    ) -> int:
        """Finish the requests in flight, then return.

        Args:
            since: Monotonic time at which the stop began, in seconds.
            grace_s: Time from then until the process is killed, in seconds.
            stop_accepting: Called before the last requests are finished.

        Returns:
            Number of requests that were ended, since the time was over.
        """
        is_accepting = True
        for conn in self._connections:
            conn.is_draining = True
        self._draining_since = since
        self.change_grace(grace_s)
        while clock.now() < self._entry.ctx.ends_at:
            if clock.now() >= since + SERVE_WHILE_STOPPING_S:
                self._close_idle()
                if not self._connections and not self._lingering:
                    if not is_accepting:
                        return 0
                    # A connection that was accepted just before is not registered yet.
                    stop_accepting()
                    is_accepting = False
            eventlet.sleep(DRAIN_POLL_INTERVAL_S)
        stop_accepting()
        return self._end_requests()

    def change_grace(self, grace_s: float) -> None:
        """Apply a changed grace time, also to a stop that has begun.

        Args:
            grace_s: Time from the signal to stop until the process is killed, in seconds.
        """
        if self._draining_since is not None:
            self._entry.ctx.ends_at = self._draining_since + grace_s - EXIT_MARGIN_S

    def _end_requests(self) -> int:
        """Refuse or reset all requests that are under way; return how many there were."""
        self._is_exiting = True
        # Lets requests begin that were read just now.
        eventlet.sleep(0)
        servers = dict(self._servers)
        for conn, server in servers.items():
            self._log_abandoned(conn, AbandonCause.GRACE_OVER, Party.ENTRY)
            conn.is_closing = True
            # All end in one round of the event loop, so that no slot that one of them frees
            # lets another be sent on.
            eventlet.spawn_n(server.kill, EntryStoppingError("the grace time is over"))
        deadline = clock.now() + LAST_DELIVERY_S
        while clock.now() < deadline and (
            self._lingering or not servers.keys().isdisjoint(self._connections)
        ):
            eventlet.sleep(DRAIN_POLL_INTERVAL_S)
        return len(servers)

    def _close_idle(self) -> None:
        """Close connections on which no request is in flight.

        One to which a request has come is left to its greenlet, which answers it.
        """
        for conn, server in list(self._connections.items()):
            if conn.is_idle and not conn.has_input:
                eventlet.kill(server, EntryStoppingError("the entry is stopping"))
