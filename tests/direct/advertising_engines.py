"""Several entries that gossip, with engines that advertise a state in their responses."""

from __future__ import annotations

import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import eventlet

from dockreach.direct.endpoints import Published
from dockreach.direct.entry import Entry

from .crashing_engines import GOSSIP_S
from .standins import Caller, Dialog, EndpointStandIn, entry_settings, start_entry

WORK_S = 0.1
SLOTS = 4


def published_in_incarnation(
    name: str, address: str, *, leaving: bool = False, seq: int = 1
) -> Published:
    """Return the platform's record of an endpoint, always of the same incarnation."""
    return Published(name, "work", address, "hall1", SLOTS, leaving, 1000, seq)


@dataclass
class AdvertisingEngine:
    """An engine that adds headers to its responses, or rejects requests.

    Attributes:
        extra_headers: Headers that it adds to its responses.
        status: Status line of its responses.
        work_s: Time for which a request runs, in seconds.
        arrivals: Monotonic times at which requests arrived, in seconds, each with the entry
            that sent the request.
    """

    name: str
    extra_headers: bytes = b""
    status: bytes = b"200 OK"
    work_s: float = WORK_S
    arrivals: list[tuple[float, str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.stand_in = EndpointStandIn(self._serve)

    def _serve(self, dialog: Dialog) -> None:
        entry, _, _ = dialog.rid.decode().partition("/")
        self.arrivals.append((time.monotonic(), entry))
        eventlet.sleep(self.work_s)
        dialog.respond(b"fine", self.status, self.extra_headers)

    def reject_requests(self, extra: bytes = b"") -> None:
        """Respond 503 from now on, without running anything."""
        self.status = b"503 Service Unavailable"
        self.work_s = 0.0
        self.extra_headers = b"Not-Executed: 1\r\n" + extra

    def accept_requests(self) -> None:
        """Run requests again, and advertise nothing any more."""
        self.status = b"200 OK"
        self.work_s = WORK_S
        self.extra_headers = b""

    def arrived_since(self, at: float, entry: str = "") -> list[float]:
        """Return when requests arrived since a time, from one entry or from all."""
        return [arrived for arrived, via in self.arrivals if arrived >= at and entry in via]


class AdvertisingFleet:
    """Entries that gossip, and the engines of one service.

    Attributes:
        statuses: Monotonic time, in seconds, and status of each response.
    """

    def __init__(self, *, entries: int, engines: int) -> None:
        self._rids = itertools.count()
        self.statuses: list[tuple[float, int]] = []
        self.entries: list[Entry] = []
        self.engines = [AdvertisingEngine(f"e-{number}") for number in range(engines)]
        for _ in range(entries):
            seeds = tuple(entry.settings.gossip_address for entry in self.entries[:1])
            entry = start_entry(settings=replace(entry_settings(), seeds=seeds))
            self.entries.append(entry)
        self.publish()
        eventlet.sleep(GOSSIP_S)

    def publish(self, *, seq: int = 1) -> None:
        """Publish all engines as the platform does, none of them as leaving."""
        for engine, entry in itertools.product(self.engines, self.entries):
            entry.apply_endpoint(
                published_in_incarnation(engine.name, engine.stand_in.address, seq=seq)
            )

    def send_request(self, number: int, path: str = "/once/a") -> bytes:
        """Send a request to one entry; return the response."""
        caller = Caller(self.entries[number])
        caller.send(path, rid=f"entry-{number}/{next(self._rids)}")
        response = caller.read_response()
        caller.close()
        self.statuses.append((time.monotonic(), int(response.split(b" ", 2)[1])))
        return response

    def send_load(
        self, *, per_s: float, for_s: float, then: Callable[[], None] = lambda: None
    ) -> None:
        """Send requests to all entries in turn for some time; wait for the responses."""
        ends = time.monotonic() + for_s
        pool = eventlet.GreenPool()
        for number in itertools.count():
            if time.monotonic() >= ends:
                break
            pool.spawn(self.send_request, number % len(self.entries))
            eventlet.sleep(1 / per_s)
        then()
        pool.waitall()

    def served_fraction(self, since: float) -> float:
        """Return the fraction of responses since a time that had status 200."""
        served = [status == 200 for at, status in self.statuses if at >= since]
        return sum(served) / len(served)
