"""Engines that advertise in their responses how many requests a second they accept."""

from __future__ import annotations

import time

import pytest

from .advertising_engines import AdvertisingFleet

LOAD_PER_S = 40.0
"""Requests a second over all entries."""

REPORT_DELAY_S = 0.5
"""Time after which entries have to keep to a limit in a relayed response, in seconds."""

WINDOW_S = 4.0


def max_in_window(arrivals: list[float]) -> int:
    """Return the largest number of arrivals in a window of the platform's rule."""
    return max(
        (sum(at <= when < at + WINDOW_S for when in arrivals) for at in arrivals), default=0
    )


@pytest.mark.parametrize("rate", [1.0, 2.5])
def test_all_entries_together_keep_to_an_advertised_limit(rate: float) -> None:
    # Five entries sent 16 requests in 4 s to an engine that accepted one a second.
    fleet = AdvertisingFleet(entries=5, engines=3)
    limited = fleet.engines[0]
    limited.extra_headers = f"Server-Limit: {rate}\r\n".encode()
    fleet.send_load(per_s=LOAD_PER_S, for_s=1.0)
    advertised_at = time.monotonic()
    fleet.send_load(per_s=LOAD_PER_S, for_s=WINDOW_S + REPORT_DELAY_S + 0.5)
    arrivals = limited.arrived_since(advertised_at + REPORT_DELAY_S)
    assert max_in_window(arrivals) <= 1.5 * rate * WINDOW_S + 5
    # The limit is not treated as a limit of zero.
    assert len(arrivals) >= rate * WINDOW_S / 2
    assert fleet.served_fraction(advertised_at) > 0.95
