"""Requests of which one prompt part crashes engines, over several entries."""

from __future__ import annotations

import logging

import eventlet
import pytest

from dockreach.direct.fingerprint import part_fingerprints
from dockreach.direct.http1 import RawRequest
from dockreach.direct.quarantine import RETENTION_S
from dockreach.direct.requests import InboundRequest
from dockreach_platform.headers import PlatformAdapter

from .crashing_engines import CRASHING_PART, GOSSIP_S, CrashingFleet
from .crashing_part_days import CONTACT_S, CRASHES, Day, Load
from .standins import header_of, status_of


def request_with_parts(*parts: str) -> InboundRequest:
    value = ",".join(f"{part}:20" for part in parts).encode()
    raw = RawRequest(b"POST", b"/x", [(b"Prompt-Prefix-Hash", value)], b"", True)
    return PlatformAdapter().read_request(raw, 0.0)


MAX_CRASHES = 5
"""Engines that a prompt part may crash before it has to be quarantined."""


def test_a_crashing_prompt_part_is_quarantined_though_no_two_requests_are_alike() -> None:
    fleet = CrashingFleet(entries=3, engines=4)
    statuses = []
    for number in range(12):
        entry = fleet.entries[number % 3]
        own = f"own{number}"
        fleet.request(entry, own.encode(), parts=("first", CRASHING_PART, own))
        eventlet.sleep(GOSSIP_S)
        sound = fleet.request(entry, f"sound {own}".encode(), parts=("first", f"s{own}"))
        statuses.append(status_of(sound))
    assert len(fleet.crashed) <= MAX_CRASHES
    assert statuses == [200] * 12


MIN_SERVED_FRACTION = 0.95
"""Share of the requests that must be served after all faults, as in a soak."""

LOADS = {
    "usual": Load(),
    "rare": Load(crashing_per_s=0.4),
    "flood": Load(crashing_per_s=20.0),
    "one first part": Load(common_first=True),
    "a companion": Load(companion=True, first_parts=4),
    "other crashes": Load(natural_crashes=tuple(range(2, 90, 4))),
    "repeats": Load(has_repeats=True),
    "few requests": Load(sound_per_s=2.0, crashing_per_s=0.5, first_parts=80),
}


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("name", LOADS)
def test_a_crashing_prompt_part_is_hardly_sent_after_its_fifth_crash(
    name: str, seed: int
) -> None:
    day = Day(seed, LOADS[name]).run()
    assert day.crashed_at
    assert day.late_sends <= 3


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("name", LOADS)
def test_requests_that_share_a_first_part_with_it_are_served(name: str, seed: int) -> None:
    day = Day(seed, LOADS[name]).run()
    last = day.crashed_at[min(len(day.crashed_at), CRASHES) - 1]
    # The target is half of the usual share at least.
    assert day.share_refused(last + 2 * CONTACT_S) <= 0.05


@pytest.mark.parametrize("seed", range(5))
def test_engines_that_crash_for_other_reasons_quarantine_no_prompt_part(seed: int) -> None:
    crashes = tuple(3.0 + 4.0 * number for number in range(8))
    load = Load(crashing_per_s=1e-9, natural_crashes=crashes)
    day = Day(seed, load, length_s=60.0).run()
    assert day.share_refused(0.0) <= 0.01
    assert day.share_refused(crashes[-1] + 2 * CONTACT_S) == 0.0


@pytest.mark.parametrize("seed", range(5))
def test_prompt_parts_run_again_soon_after_most_engines_were_down(seed: int) -> None:
    crashes = tuple(3.0 + 1.5 * number for number in range(20))
    load = Load(crashing_per_s=1e-9, natural_crashes=crashes)
    day = Day(seed, load, length_s=60.0).run()
    assert 1 - day.share_refused(crashes[-1] + 2 * CONTACT_S) >= MIN_SERVED_FRACTION


def test_a_part_that_crashes_the_engines_of_one_service_runs_at_others() -> None:
    req = request_with_parts("first", "dead", "own")
    here, elsewhere = part_fingerprints(req, "work"), part_fingerprints(req, "other")
    assert len(here) == 2
    assert not set(here) & set(elsewhere)


def test_the_last_part_of_a_prompt_is_never_suspected() -> None:
    assert part_fingerprints(request_with_parts("own"), "work") == ()
    assert part_fingerprints(request_with_parts(), "work") == ()


def test_the_log_names_the_prompt_part_that_was_quarantined(
    caplog: pytest.LogCaptureFixture,
) -> None:
    fleet = CrashingFleet(entries=1, engines=4)
    with caplog.at_level(logging.INFO, "dockreach"):
        for number in range(4):
            own = f"own{number}"
            parts = (f"first{number}", CRASHING_PART, own)
            fleet.request(fleet.entries[0], own.encode(), parts=parts)
            eventlet.sleep(GOSSIP_S)
    barred = [row for row in caplog.records if row.__dict__.get("event") == 708]
    assert CRASHING_PART in {row.__dict__["part"] for row in barred}
    response = fleet.request(fleet.entries[0], b"x", parts=("f", CRASHING_PART, "x"))
    assert status_of(response) == 503
    assert 0 < float(header_of(response, b"retry-after") or 0) < RETENTION_S


def test_an_entry_that_has_just_started_knows_the_prompt_part() -> None:
    fleet = CrashingFleet(entries=2, engines=4)
    for number in range(4):
        own = f"own{number}"
        parts = (f"first{number}", CRASHING_PART, own)
        fleet.request(fleet.entries[number % 2], own.encode(), parts=parts)
        eventlet.sleep(GOSSIP_S)
    late = fleet.add_entry()
    for row in fleet.entries[0].endpoints:
        late.apply_endpoint(row.published)
    eventlet.sleep(2 * GOSSIP_S)
    crashes = len(fleet.crashed)
    response = fleet.request(late, b"x", parts=("f", CRASHING_PART, "x"))
    assert status_of(response) == 503
    assert len(fleet.crashed) == crashes
