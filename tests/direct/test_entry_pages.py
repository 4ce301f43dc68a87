"""The metrics page of an entry."""

from __future__ import annotations

import eventlet

from dockreach.direct.entry import Entry

from .advertising_engines import AdvertisingFleet
from .crashing_engines import CRASHING_BODY, GOSSIP_S, CrashingFleet
from .standins import fetch_page, start_entry


def series(entry: Entry, name: str) -> list[bytes]:
    """Return the lines of one metric of the direct path from an entry's metrics page."""
    assert entry.settings.metrics_address is not None
    page = fetch_page(entry.settings.metrics_address, "/metrics")
    assert CRASHING_BODY not in page
    prefix = f"dockreach_direct_{name}{{".encode()
    return [line for line in page.splitlines() if line.startswith(prefix)]


def quarantined_on(entry: Entry) -> list[bytes]:
    """Return the time series of quarantined requests on an entry's metrics page."""
    return series(entry, "request_barred_seconds")


def test_an_evacuated_hall_is_shown_until_its_evacuation_ends() -> None:
    entry = start_entry()
    entry.apply_evacuations(frozenset({"hall2"}), 1)
    (row,) = series(entry, "hall_emptied_seconds")
    assert b'hall="hall2"' in row
    entry.apply_evacuations(frozenset(), 2)
    assert series(entry, "hall_emptied_seconds") == []


def test_a_quarantined_request_is_shown_with_its_organisation_and_path() -> None:
    fleet = CrashingFleet(entries=2, engines=3)
    first, second = fleet.entries
    for _ in range(2):
        assert quarantined_on(first) == []
        fleet.request(first, CRASHING_BODY)
        eventlet.sleep(GOSSIP_S)
    (row,) = quarantined_on(first)
    assert b'path="/once/a"' in row
    assert b'organisation="assessors"' in row
    # The other entry has the crash report, but no source until the request arrives there.
    (row,) = quarantined_on(second)
    assert b'path=""' in row
    fleet.request(second, CRASHING_BODY)
    (row,) = quarantined_on(second)
    assert b'path="/once/a"' in row
    for entry in fleet.entries:
        (fingerprint,) = entry.ctx.crashes.quarantine.quarantined()
        assert fingerprint.hex().encode() in row
    second.ctx.crashes.record_completion(fingerprint)
    eventlet.sleep(GOSSIP_S)
    assert quarantined_on(first) == quarantined_on(second) == []


def test_advertised_state_and_blocked_endpoints_are_shown() -> None:
    fleet = AdvertisingFleet(entries=2, engines=3)
    limited, leaving, overloaded = fleet.engines
    limited.extra_headers = b"Server-Limit: 0.5\r\n"
    leaving.extra_headers = b"Server-Leaving: 1\r\n"
    overloaded.reject_requests(b"Retry-After: 5\r\n")
    fleet.send_load(per_s=40.0, for_s=0.5)
    for entry in fleet.entries:
        (row,) = series(entry, "endpoint_limit_per_second")
        assert b'endpoint="e-0"' in row
        assert row.endswith(b" 0.5")
        (row,) = series(entry, "endpoint_leaving")
        assert b'endpoint="e-1"' in row
        (row,) = series(entry, "endpoint_rest_seconds")
        assert b'endpoint="e-2"' in row
        assert 3.0 < float(row.rpartition(b" ")[2]) < 5.0
        reasons = b"".join(series(entry, "endpoints_held"))
        for reason in (b"limited", b"leaving", b"resting"):
            assert b'reason="' + reason + b'"' in reasons
