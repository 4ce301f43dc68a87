"""When a caller tried first."""

from __future__ import annotations

from dockreach.direct.first_tries import REMEMBERED, FirstTries


def test_a_deadline_shorter_than_usual_is_a_later_try() -> None:
    tries = FirstTries()
    assert tries.tried_s("a", 12.0) == 0.0
    assert tries.tried_s("a", 8.0) == 4.0
    assert tries.tried_s("a", 12.0) == 0.0


def test_routes_do_not_mix_and_none_is_a_first_try() -> None:
    tries = FirstTries()
    tries.tried_s("a", 12.0)
    assert tries.tried_s("b", 3.0) == 0.0
    assert tries.tried_s("a", None) == 0.0


def test_a_few_that_wait_longer_do_not_make_all_others_late() -> None:
    tries = FirstTries()
    for number in range(REMEMBERED):
        tries.tried_s("a", 60.0 if number % 20 == 0 else 12.0)
    assert tries.tried_s("a", 12.0) == 0.0


def test_many_that_come_back_do_not_pass_for_first_tries() -> None:
    tries = FirstTries()
    for number in range(REMEMBERED):
        tries.tried_s("a", 12.0 if number % 5 == 0 else 8.0)
    assert tries.tried_s("a", 8.0) == 4.0


def test_usual_deadlines_may_change_and_old_routes_are_forgotten() -> None:
    tries = FirstTries()
    for _ in range(REMEMBERED):
        tries.tried_s("a", 12.0)
    for _ in range(REMEMBERED):
        tries.tried_s("a", 6.0)
    assert tries.tried_s("a", 6.0) == 0.0
    tries.tried_s("b", 9.0)
    tries.keep_only({"b"})
    assert tries.tried_s("a", 2.0) == 0.0
    assert tries.tried_s("b", 2.0) == 7.0
