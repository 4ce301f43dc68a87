"""One chat ended nine engines in eleven seconds, and another one seven.

It came again each second with the same path, organisation and body, under a new id and at
another entry, and ended each engine some 0.1 s after this began to run it. Entries knew a
request for one try only, so that the tenth try looked to them as sound as the first. At
each of nine ends a chat of one organisation without an event was under way, and no id was
lost at more than one engine:

     8.839 santander-c-1 6e8df805521895a1 i-4bb5975339 lost
    12.262 santander-c-1 7d509a1649997ec4 i-95b2476af3 lost
    13.033 vitoria-b-1   cd3dd0bc46fe7cf6 i-df0aff0f2b lost
    15.580 bilbao-a-2    3d59198868a50ba7 i-291eb1054d lost
"""

from __future__ import annotations

import eventlet

from .dying_engines import DEADLY, NEWS_S, DyingFleet
from .standins import status_of


def test_a_body_that_ends_its_engines_ends_three_over_all_entries() -> None:
    fleet = DyingFleet(entries=3, engines=4)
    statuses = []
    for number in range(9):
        answer = fleet.ask(fleet.entries[number % 3], DEADLY)
        statuses.append(status_of(answer))
        eventlet.sleep(NEWS_S)
    assert len(fleet.ended) == 3
    # May have run, three times; then never again, which the answer says.
    assert statuses == [502] * 3 + [503] * 6
    assert status_of(fleet.ask(fleet.entries[0], b"another body")) == 200
