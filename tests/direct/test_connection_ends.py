"""Counters of how callers' connections and abandoned requests end."""

from __future__ import annotations

from dockreach.direct.connection_ends import AbandonCause, CloseCause, ConnectionEnds


def test_each_cause_that_occurred_has_a_sample_of_its_own() -> None:
    ends = ConnectionEnds()
    ends.closed[CloseCause.IDLE] += 2
    ends.closed[CloseCause.STOPPING] += 1
    ends.abandoned[AbandonCause.GRACE_OVER] += 3
    found = {
        (sample.name, sample.labels["cause"]): sample.value for sample in ends.samples()
    }
    assert found == {
        ("dockreach_direct_connections_closed_total", "idle"): 2,
        ("dockreach_direct_connections_closed_total", "stopping"): 1,
        ("dockreach_direct_requests_abandoned_total", "grace_over"): 3,
    }
    assert all(sample.is_counter for sample in ends.samples())


def test_nothing_is_reported_before_anything_ended() -> None:
    assert list(ConnectionEnds().samples()) == []
