"""Fetches the platform's data from a peer that has newer data than this entry.

Entries that cannot reach the platform get its data in this way, and so do entries that
leave polling the platform to the readers of their data hall.
"""

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
from .http1 import ConnectError, ResponseError
from .loops import run_forever
from .peers import PeerRow, PeerTable
from .view import View

POLL_INTERVAL_S = 0.25
"""Interval between checks for a peer with newer data, in seconds."""

MAX_BEHIND_S = 0.4
"""How long a peer may have a newer configuration before it is fetched from the peer, in
seconds. Usually the platform itself delivers it within milliseconds."""

CONNECT_TIMEOUT_S = 0.3
READ_TIMEOUT_S = 1.0
"""Timeouts for the connection to a peer and for each read from it, in seconds. Peers
respond within milliseconds, but a whole view may take seconds over a slow network."""

MAX_VIEW_BYTES = 8 << 20


@dataclass(slots=True)
class KnownRevisions:
    """The revisions of the platform's data that this entry has.

    Attributes:
        revision: Number of the current configuration; 0 for none.
        endpoints_revision: The platform's revision up to which the endpoint list was read.
        is_platform_unavailable: Whether the platform has not responded for so long that
            endpoints may have changed unnoticed.
        is_reader: Whether this entry polls the platform itself; otherwise it fetches the
            data from the readers of its data hall.
        orders_revision: The platform's revision of the last operator command; 0 for none.
    """

    revision: int
    endpoints_revision: int
    is_platform_unavailable: bool
    is_reader: bool = True
    orders_revision: int = 0


class ViewSync:
    """Fetches the view of a peer that has newer data.

    Args:
        peers: The other entries.
        hall: The data hall of this entry.
        known_revisions: Returns the revisions that this entry has.
        apply_view: Applies the view of a peer, given its name.
    """

    def __init__(
        self,
        peers: PeerTable,
        hall: str,
        known_revisions: Callable[[], KnownRevisions],
        apply_view: Callable[[View, str], None],
    ) -> None:
        self._peers = peers
        self._hall = hall
        self._known_revisions = known_revisions
        self._apply_view = apply_view
        self._behind_since: float | None = None

    def start(self) -> None:
        """Start checking periodically for a peer with newer data."""
        eventlet.spawn(run_forever, self._poll)

    def _poll(self) -> None:
        eventlet.sleep(POLL_INTERVAL_S)
        peer = self.peer_to_fetch_from(clock.now())
        if peer is not None:
            self._fetch_from(peer)

    def peer_to_fetch_from(self, now: float) -> PeerRow | None:
        """Return a peer with newer data to fetch; ``None`` if there is none."""
        known = self._known_revisions()
        fresh = self._peers.fresh(now)
        if not known.is_reader:
            same_hall = [row for row in fresh if row.digest.hall == self._hall]
            found = _ahead_in_commands(same_hall, known)
            found = found or _ahead(
                same_hall, _endpoints_revision, known.endpoints_revision
            )
            if found is not None:
                return found
        ahead = _ahead_in_commands(fresh, known)
        if ahead is None:
            self._behind_since = None
        else:
            self._behind_since = self._behind_since or now
            if not known.revision or now - self._behind_since > MAX_BEHIND_S:
                return ahead
        if not known.is_platform_unavailable and known.endpoints_revision:
            return None
        return _ahead(fresh, _endpoints_revision, known.endpoints_revision)

    def _fetch_from(self, peer: PeerRow) -> None:
        address = peer.digest.address
        try:
            data = _fetch(f"{address.ip}:{address.port}")
            self._apply_view(views.decode(data), peer.digest.name)
        except (ConnectError, ResponseError, WireError) as exc:
            log(Event.PEER_SILENT, str(exc), peer=peer.digest.name)


def _revision(row: PeerRow) -> int:
    return row.digest.revision


def _orders_revision(row: PeerRow) -> int:
    return row.digest.orders_revision


def _endpoints_revision(row: PeerRow) -> int:
    return row.digest.endpoints_revision


def _ahead_in_commands(rows: list[PeerRow], known: KnownRevisions) -> PeerRow | None:
    """Return a peer with a newer configuration or a newer operator command."""
    found = _ahead(rows, _revision, known.revision)
    return found or _ahead(rows, _orders_revision, known.orders_revision)


def _ahead(
    rows: list[PeerRow], revision_of: Callable[[PeerRow], int], known: int
) -> PeerRow | None:
    """Return a peer that has the newest revision, if that is newer than the known one.

    It is chosen at random: if all entries asked the same peer, it would respond late.
    """
    newest = max(map(revision_of, rows), default=0)
    if newest <= known:
        return None
    return random.choice([row for row in rows if revision_of(row) == newest])


def _fetch(address: str) -> bytes:
    conn = EndpointConnection(address, CONNECT_TIMEOUT_S)
    try:
        conn.set_read_timeout(READ_TIMEOUT_S)
        conn.send(b"GET", views.VIEW_PATH, [(b"Host", address.encode())], None)
        head = conn.read_head()
        if head.status != 200:
            raise ResponseError(f"{address}: status {head.status}")
        return conn.read_body(MAX_VIEW_BYTES)
    finally:
        conn.close()
