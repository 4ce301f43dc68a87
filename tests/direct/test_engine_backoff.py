"""Engines that reject requests and request a back-off from an entry."""

from __future__ import annotations

import time

from dockreach.direct.endpoints import MAX_CIRCUIT_OPEN_S

from .advertising_engines import AdvertisingFleet

LOAD_PER_S = 40.0
"""Requests a second over all entries."""

BACKOFF_S = 2.0
GRACE_S = 0.5
"""Time after a response in which requests may still arrive, in seconds."""

MAX_LATE_ARRIVALS = 2
"""Requests that may arrive during the remaining back-off."""


def test_an_engine_gets_no_requests_during_its_backoff() -> None:
    # An engine that requested a back-off of 3 s got 18 requests in that time, each of which
    # was refused to its caller.
    fleet = AdvertisingFleet(entries=3, engines=3)
    fleet.send_load(per_s=LOAD_PER_S, for_s=0.5)
    backing_off = fleet.engines[0]
    backing_off.reject_requests(f"Retry-After: {BACKOFF_S}\r\n".encode())
    started_at = time.monotonic()
    fleet.send_load(per_s=LOAD_PER_S, for_s=BACKOFF_S)
    for number in range(3):
        via = f"entry-{number}"
        first = min(backing_off.arrived_since(started_at, via))
        late_arrivals = backing_off.arrived_since(first + GRACE_S, via)
        assert sum(when < first + BACKOFF_S for when in late_arrivals) <= MAX_LATE_ARRIVALS
    assert fleet.served_fraction(started_at) > 0.9
    # It is used again after the back-off, once its circuit is closed. The others leave: on
    # a busy machine it may be measured as slower, and not be needed.
    backing_off.accept_requests()
    for other in fleet.engines[1:]:
        other.extra_headers = b"Server-Leaving: 1\r\n"
    since = time.monotonic()
    fleet.send_load(per_s=LOAD_PER_S, for_s=MAX_CIRCUIT_OPEN_S)
    assert len(backing_off.arrived_since(since)) > LOAD_PER_S / 5


def test_an_engine_that_rejects_all_requests_attracts_no_more_than_healthy_ones() -> None:
    # It seems to have the most free slots, since it ends each request at once.
    fleet = AdvertisingFleet(entries=3, engines=3)
    fleet.send_load(per_s=LOAD_PER_S, for_s=0.5)
    refusing = fleet.engines[0]
    refusing.reject_requests()
    started_at = time.monotonic()
    fleet.send_load(per_s=LOAD_PER_S, for_s=BACKOFF_S)
    assert len(refusing.arrived_since(started_at)) < 0.2 * LOAD_PER_S * BACKOFF_S
    assert fleet.served_fraction(started_at) > 0.8
