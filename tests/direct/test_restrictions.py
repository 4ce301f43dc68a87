"""Which suspects of crashes are restricted, and which crashes others explain."""

from __future__ import annotations

from dockreach.direct.crash_history import CrashedRun, CrashHistory
from dockreach.direct.restrictions import Restriction, find_restrictions

MAX_RUNS = 2


def histories(**crashes: str) -> dict[bytes, CrashHistory]:
    """Return crash histories; each letter is an engine, which crashes after the previous.

    Engines with the same letter in upper case crash at the same moment as in lower case.
    """
    found = {}
    for name, engines in crashes.items():
        history = CrashHistory(0.0, 0.0)
        for engine in engines:
            at = float(ord(engine.lower()))
            history.add(CrashedRun(engine, at - 0.5, at), {})
        found[name.encode()] = history
    return found


def restricted(**crashes: str) -> dict[bytes, Restriction]:
    return find_restrictions(histories(**crashes), {}, max_runs=MAX_RUNS)


def test_a_suspect_of_one_crash_is_not_restricted() -> None:
    assert restricted(one="a") == {}


def test_the_suspect_of_more_crashes_explains_those_that_it_shares() -> None:
    found = restricted(part="abcd", first="ab", other="cd")
    assert found == {b"part": Restriction(True, frozenset({b"part"}))}


def test_a_suspect_is_held_to_the_crashes_that_no_other_explains() -> None:
    found = restricted(part="abcd", first="axy")
    assert found.keys() == {b"part", b"first"}
    assert restricted(part="abcd", first="ax").keys() == {b"part"}


def test_suspects_of_the_same_crashes_are_tied() -> None:
    found = restricted(part="ab", first="ab", other="a")
    assert found.keys() == {b"part", b"first"}
    assert all(item.tied == {b"part", b"first"} for item in found.values())


def test_suspects_without_a_common_crash_explain_nothing() -> None:
    assert restricted(part="abc", other="xy").keys() == {b"part", b"other"}


def test_engines_that_crash_at_once_serialize_and_do_not_quarantine() -> None:
    history = CrashHistory(0.0, 0.0)
    for number in range(3):
        history.add(CrashedRun(f"e-{number}", 0.0, 1.0 + 0.01 * number), {})
    found = find_restrictions({b"part": history}, {}, max_runs=MAX_RUNS)
    assert found == {b"part": Restriction(False, frozenset({b"part"}))}


def test_cleared_crashes_do_not_count() -> None:
    suspects = histories(first="abcd", part="abc")
    suspects[b"first"].clear("abcd")
    found = find_restrictions(suspects, {}, max_runs=MAX_RUNS)
    assert found.keys() == {b"part"}
