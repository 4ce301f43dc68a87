"""Tests of load shedding at entries: lower tiers are always shed first."""

from __future__ import annotations

import msgspec

from dockreach.entry_tables import Admit, CallerGone, Phase
from dockreach.messages import Cancel, Floor
from dockreach.verdict import Reason, Verdict

from .cores import SimulatedNetwork, new_admit, new_network


def new_network_without_slots(entries: int = 1) -> SimulatedNetwork:
    """Return entries and agents whose engines have no free slots."""
    net = new_network(entries=entries)
    for world in net.agents.values():
        world.model.window = 0.0
        world.model.adjusted_at = 1e9
    return net


def large_request(rid: str, tier: int, size: int = 400) -> Admit:
    return msgspec.structs.replace(
        new_admit(rid, tier=tier, deadline=600), body=b"x" * size
    )


def refusal_reason(net: SimulatedNetwork, rid: str, entry: str = "n0") -> Reason | None:
    refusal = net.request(rid, entry).refusal
    return None if refusal is None else refusal.reason


def test_floor_rises_before_memory_sheds_a_higher_tier() -> None:
    net = new_network_without_slots(entries=2)
    net.entries["n0"].policy.waiting_bytes = 1000
    net.deliver("n1", large_request("far", 2))
    net.step()
    net.deliver("n0", large_request("low", 2, 300))
    net.deliver("n0", large_request("top", 0, 300))
    net.step()
    assert refusal_reason(net, "low") is None
    net.deliver("n0", large_request("top2", 0, 300))
    net.steps(4)
    assert refusal_reason(net, "low") is Reason.FLOOR
    assert refusal_reason(net, "far", "n1") is Reason.FLOOR
    assert net.request("top").phase is Phase.WAITING
    assert any(isinstance(item, Floor) for _, _, item in net.sent_messages)
    net.deliver("n1", large_request("late", 1))
    net.steps(2)
    assert refusal_reason(net, "late", "n1") is Reason.FLOOR


def test_full_memory_sheds_newest_request_of_lowest_tier() -> None:
    net = new_network_without_slots()
    net.entries["n0"].policy.waiting_bytes = 1000
    net.entries["n0"].policy.floor_fraction = 10.0
    net.deliver("n0", large_request("middle1", 1))
    net.deliver("n0", large_request("middle2", 1))
    net.deliver("n0", large_request("top", 0))
    net.steps(2)
    assert refusal_reason(net, "middle2") is Reason.SHED
    assert net.request("middle1").phase is Phase.WAITING
    assert net.request("top").phase is Phase.WAITING


def test_request_is_shed_only_after_every_agent_displaced_it() -> None:
    net = new_network_without_slots()
    first, second = net.agents.values()
    first.policy.queue_limit = 1
    net.deliver("n0", new_admit("a", tier=2, deadline=600))
    net.deliver("n0", new_admit("b", tier=2, deadline=600))
    net.steps(4)
    assert net.request("b").phase is Phase.WAITING
    second.policy.queue_limit = 1
    net.deliver("n0", new_admit("top", tier=0, deadline=600))
    net.steps(4)
    assert refusal_reason(net, "b") is Reason.SHED
    assert net.request("top").phase is Phase.WAITING


def test_shed_request_gets_not_run_verdict_and_retry_after() -> None:
    net = new_network_without_slots()
    for world in net.agents.values():
        world.policy.queue_limit = 0
    net.deliver("n0", new_admit("a"))
    net.steps(4)
    refusal = net.request("a").refusal
    assert refusal is not None
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.retry_after_s


def test_request_that_misses_deadline_while_waiting_is_not_run() -> None:
    net = new_network_without_slots()
    net.deliver("n0", new_admit("a", deadline=2.0))
    net.steps(8, 0.5)
    refusal = net.request("a").refusal
    assert refusal is not None
    assert refusal.reason is Reason.DEADLINE
    assert refusal.verdict is Verdict.NOT_RUN
    assert net.run_count("a") == 0


def test_caller_leaving_while_waiting_removes_all_state() -> None:
    net = new_network_without_slots()
    net.deliver("n0", new_admit("a"))
    net.steps(2)
    net.deliver("n0", CallerGone("a", net.request("a").caller))
    net.steps(3)
    world = net.entries["n0"]
    assert not world.requests
    assert world.waiting_bytes == 0
    assert all(not item.holds for item in net.agents.values())


def test_caller_leaving_cancels_committed_request() -> None:
    net = new_network()
    net.deliver("n0", new_admit("a"))
    net.steps(6)
    net.deliver("n0", CallerGone("a", net.request("a").caller))
    net.steps(2)
    assert any(isinstance(item, Cancel) for _, _, item in net.sent_messages)
