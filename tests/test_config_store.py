"""Configuration revisions: only newer ones are accepted, and peers exchange differences."""

import pytest

from dockreach.config_store import ConfigStore
from dockreach.errors import RevisionError
from dockreach.messages import ConfigBody, ConfigDelta

BODY = "[fleet]\nrevision=%d\n\n[pool p]\ndescription=%s\n\n[pool q]\n"


def make_store(revision: int, text: str = "a") -> ConfigStore:
    found = ConfigStore()
    found.accept(BODY % (revision, text), "test")
    return found


def test_older_revision_is_refused() -> None:
    current = make_store(5)
    with pytest.raises(RevisionError):
        current.accept(BODY % (4, "a"), "stale platform")
    assert current.revision == 5
    assert current.stale == 1


def test_another_body_under_the_same_revision_is_refused() -> None:
    current = make_store(5)
    with pytest.raises(RevisionError):
        current.accept(BODY % (5, "b"), "platform")
    assert current.conflicts == 1
    assert current.accept(BODY % (5, "a"), "platform") is None


def test_invalid_body_does_not_replace_the_current_one() -> None:
    current = make_store(5)
    for body in ("rubbish", "[fleet]\nrevision=x\n", "#" * (1 << 20) + "##"):
        with pytest.raises(RevisionError):
            current.accept(body, "platform")
    assert current.revision == 5
    assert current.invalid == 3


def test_peer_one_revision_behind_receives_only_the_difference() -> None:
    ahead, behind = make_store(5, "a"), make_store(5, "a")
    ahead.accept(BODY % (6, "b"), "platform")
    ask = behind.on_heartbeat(6, ahead.digest)
    assert ask is not None
    delta = ahead.on_ask(ask.revision)
    assert isinstance(delta, ConfigDelta)
    assert set(delta.changed) == {"[fleet]", "[pool p]"}
    assert behind.on_delta(delta, "peer") is not None
    assert behind.digest == ahead.digest


def test_delta_on_another_body_is_refused_and_the_complete_body_applies() -> None:
    """Two daemons may have different bodies under one revision.

    A difference then produces a third body, which its hash reveals.
    """
    ahead, behind = make_store(5, "a"), make_store(5, "c")
    ahead.accept(BODY % (6, "b") + "[pool r]\n", "platform")
    delta = ahead.on_ask(5)
    assert isinstance(delta, ConfigDelta)
    changed = dict(delta.changed)
    del changed["[pool p]"]
    broken = ConfigDelta(5, 6, delta.digest, changed)
    with pytest.raises(RevisionError):
        behind.on_delta(broken, "peer")
    complete = ahead.on_ask(0)
    assert isinstance(complete, ConfigBody)
    behind.accept(complete.body, "peer")
    assert behind.digest == ahead.digest


def test_conflict_seen_in_a_heartbeat_is_counted() -> None:
    current = make_store(5)
    assert current.on_heartbeat(5, "other") is None
    assert current.conflicts == 1
