"""Helps entries that the platform does not serve: they ask a peer that it does serve."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

import eventlet

from .. import clock
from ..errors import WireError
from ..events import Event, log
from . import view as views
from .endpoint_connection import EndpointConnection
from .http1 import AnswerError, ConnectError
from .loops import run_forever
from .peers import PeerRow, PeerTable
from .view import View

ROUND_S = 0.25
"""Time between looks at whether a peer knows more, in seconds."""

BEHIND_S = 0.4
"""How long a peer may know a newer configuration before it is asked for it, in seconds.
Usually the platform itself tells within milliseconds."""

CONNECT_S = 0.3
SILENCE_S = 1.0
"""Longest waits for a peer, for a connection and for the next bytes, in seconds; peers
answer within milliseconds, and a whole view may take seconds over a narrow link."""

MOST_VIEW_BYTES = 8 << 20


@dataclass(slots=True)
class Knowledge:
    """What this entry knows, as far as helping is concerned.

    Attributes:
        revision: Number of the configuration in force; 0 for none.
        fleet_revision: The platform's revision up to which endpoints were read.
        is_cut_off: Whether the platform has not answered for so long that endpoints may
            have changed unnoticed.
        is_reader: Whether this entry asks the platform itself; else it asks those of its
            data hall that do.
        orders_revision: The platform's revision of the operator's last order; 0 for none.
    """

    revision: int
    fleet_revision: int
    is_cut_off: bool
    is_reader: bool = True
    orders_revision: int = 0


class Helping:
    """Asks a peer for its view where that peer knows more.

    Args:
        peers: The other entries.
        hall: The data hall of this entry.
        knows: Returns what this entry knows.
        take: Takes a peer's view in.
    """

    def __init__(
        self,
        peers: PeerTable,
        hall: str,
        knows: Callable[[], Knowledge],
        take: Callable[[View, str], None],
    ) -> None:
        self._peers = peers
        self._hall = hall
        self._knows = knows
        self._take = take
        self._behind_since: float | None = None

    def start(self) -> None:
        """Look now and then whether a peer knows more."""
        eventlet.spawn(run_forever, self._look)

    def _look(self) -> None:
        eventlet.sleep(ROUND_S)
        peer = self.peer_to_ask(clock.now())
        if peer is not None:
            self._ask(peer)

    def peer_to_ask(self, now: float) -> PeerRow | None:
        """Return a peer that knows more than this entry; ``None`` if none does."""
        knows = self._knows()
        fresh = self._peers.fresh(now)
        if not knows.is_reader:
            near = [row for row in fresh if row.digest.hall == self._hall]
            found = _ahead_in_orders(near, knows)
            found = found or _ahead(near, _fleet_revision, knows.fleet_revision)
            if found is not None:
                return found
        ahead = _ahead_in_orders(fresh, knows)
        if ahead is None:
            self._behind_since = None
        else:
            self._behind_since = self._behind_since or now
            if not knows.revision or now - self._behind_since > BEHIND_S:
                return ahead
        if not knows.is_cut_off and knows.fleet_revision:
            return None
        return _ahead(fresh, _fleet_revision, knows.fleet_revision)

    def _ask(self, peer: PeerRow) -> None:
        address = peer.digest.address
        try:
            data = _fetch(f"{address.ip}:{address.port}")
            self._take(views.decode(data), peer.digest.name)
        except (ConnectError, AnswerError, WireError) as exc:
            log(Event.PEER_SILENT, str(exc), peer=peer.digest.name)


def _revision(row: PeerRow) -> int:
    return row.digest.revision


def _orders_revision(row: PeerRow) -> int:
    return row.digest.orders_revision


def _fleet_revision(row: PeerRow) -> int:
    return row.digest.fleet_revision


def _ahead_in_orders(rows: list[PeerRow], knows: Knowledge) -> PeerRow | None:
    """Return one that knows a newer configuration, or a newer order of the operator."""
    found = _ahead(rows, _revision, knows.revision)
    return found or _ahead(rows, _orders_revision, knows.orders_revision)


def _ahead(
    rows: list[PeerRow], revision_of: Callable[[PeerRow], int], known: int
) -> PeerRow | None:
    """Return one of those that know the newest revision, if it is newer than what is known.

    Any of them will do: one that all others ask at once answers late.
    """
    newest = max(map(revision_of, rows), default=0)
    if newest <= known:
        return None
    return random.choice([row for row in rows if revision_of(row) == newest])


def _fetch(address: str) -> bytes:
    conn = EndpointConnection(address, CONNECT_S)
    try:
        conn.limit_silence(SILENCE_S)
        conn.send(b"GET", views.PATH, [(b"Host", address.encode())], None)
        head = conn.read_head()
        if head.status != 200:
            raise AnswerError(f"{address}: status {head.status}")
        return conn.read_body(MOST_VIEW_BYTES)
    finally:
        conn.close()
