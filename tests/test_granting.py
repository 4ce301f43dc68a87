"""Tests of an agent's queue: tiers, slots, lanes, shedding, and engine failures."""

from __future__ import annotations

from dockreach.agent import tick
from dockreach.agent_tables import AgentWorld, EngineNotRun, EngineReachable, PeerUp
from dockreach.messages import Decline, Displaced, Floor, Grant, Hold
from dockreach.queueing import Lane
from dockreach.verdict import Reason

from .cores import new_agent


class AgentHarness:
    """One agent, with the grants and displaced holds that it sent."""

    def __init__(self) -> None:
        self.world: AgentWorld = new_agent("e0", 1, 0.0)
        self.now = 0.0
        self.granted: list[str] = []
        self.displaced: dict[str, Reason] = {}
        self.put(PeerUp("entry", 1), peer="n0")

    def put(self, *messages: object, peer: str = "n0", seconds: float = 0.01) -> None:
        self.now += seconds
        output = tick(self.world, [(peer, message) for message in messages], self.now)
        for _, message in output.messages:
            if isinstance(message, Grant):
                self.granted.append(message.rid)
            elif isinstance(message, Displaced):
                self.displaced[message.rid] = message.reason

    def close_window(self) -> None:
        """Leave no free slots, so that holds are queued."""
        self.world.model.window = 0.0
        self.world.model.adjusted_at = 1e9

    def open_window(self, slots: int) -> None:
        self.world.model.window = float(slots)
        self.put()


def hold(rid: str, tier: int = 0, org: str = "a", tokens: int = 20, **kw: float) -> Hold:
    return Hold(
        rid=rid,
        organisation=org,
        tier=tier,
        deadline_ms=int(kw.get("deadline_ms", 60_000)),
        prompt_tokens=10,
        output_tokens=tokens,
        share=kw.get("share", 1.0),
    )


def test_higher_tier_is_granted_first() -> None:
    harness = AgentHarness()
    harness.close_window()
    harness.put(hold("low", 2), hold("middle", 1), hold("top", 0))
    harness.open_window(2)
    assert harness.granted == ["top", "middle"]


def test_organisations_in_tier_get_slots_by_share() -> None:
    harness = AgentHarness()
    harness.close_window()
    holds = [hold(f"a{i}", org="a", share=3.0) for i in range(40)]
    holds += [hold(f"b{i}", org="b", share=1.0) for i in range(40)]
    harness.put(*holds)
    harness.open_window(40)
    from_a = sum(rid.startswith("a") for rid in harness.granted)
    assert len(harness.granted) == 40
    assert from_a == 30


def test_declined_grant_is_not_charged_to_its_organisation() -> None:
    harness = AgentHarness()
    harness.close_window()
    harness.put(hold("a1", org="a"), hold("a2", org="a"), hold("b1", org="b"))
    harness.open_window(1)
    granted_rid = harness.granted[0]
    number = harness.world.grants[granted_rid].number
    harness.put(Decline(rid=granted_rid, number=number))
    assert harness.granted[1].startswith(granted_rid[0])


def test_full_queue_displaces_newest_hold_of_lowest_tier() -> None:
    harness = AgentHarness()
    harness.close_window()
    harness.world.policy.queue_limit = 2
    harness.put(hold("low1", 2), hold("low2", 2), hold("top", 0))
    assert harness.displaced == {"low2": Reason.SHED}
    harness.put(hold("top2", 0))
    assert harness.displaced["low1"] is Reason.SHED
    harness.put(hold("low3", 2))
    assert harness.displaced["low3"] is Reason.SHED


def test_floor_refuses_lower_tiers_until_it_expires() -> None:
    harness = AgentHarness()
    harness.close_window()
    harness.put(hold("low", 2), hold("top", 0))
    harness.put(Floor(tier=0, lease_ms=500))
    assert harness.displaced == {"low": Reason.FLOOR}
    harness.put(hold("low2", 1))
    assert harness.displaced["low2"] is Reason.FLOOR
    harness.put(hold("low3", 1), seconds=1.0)
    assert "low3" not in harness.displaced


def test_hold_that_cannot_meet_its_deadline_is_rejected_before_prefill() -> None:
    harness = AgentHarness()
    harness.put(hold("late", tokens=1000, deadline_ms=1000))
    assert harness.displaced == {"late": Reason.HOPELESS}
    assert not harness.granted


def test_slot_is_reserved_for_short_requests_of_same_tier() -> None:
    harness = AgentHarness()
    harness.close_window()
    longs = [hold(f"long{i}", 1, tokens=900) for i in range(6)]
    harness.put(hold("short0", 1), *longs)
    harness.open_window(4)
    assert harness.granted[0] == "short0"
    assert len(harness.granted) == 3
    harness.put(hold("short1", 1))
    assert harness.granted[-1] == "short1"


def test_no_slot_is_reserved_for_lower_tier() -> None:
    harness = AgentHarness()
    harness.close_window()
    longs = [hold(f"long{i}", 1, tokens=900) for i in range(6)]
    harness.put(hold("low", 2), *longs)
    harness.open_window(4)
    assert harness.granted == ["long0", "long1", "long2", "long3"]


def test_unreachable_engine_gets_no_grants_until_reachable() -> None:
    harness = AgentHarness()
    harness.put(EngineNotRun("x", unreachable=True))
    harness.put(hold("r1"))
    assert not harness.granted
    assert harness.displaced == {"r1": Reason.STOPPING}
    harness.put(EngineReachable())
    harness.put(hold("r2"))
    assert harness.granted == ["r2"]


def test_backoff_of_busy_engine_doubles() -> None:
    harness = AgentHarness()
    for expected in (0.05, 0.1, 0.2):
        harness.put(EngineNotRun("x"))
        assert abs(harness.world.backoff_s - expected) < 1e-9
    harness.put(hold("r1"))
    assert not harness.granted
    harness.put(seconds=1.0)
    assert harness.granted == ["r1"]


def test_only_lowest_waiting_tier_is_rejected_for_long_wait() -> None:
    harness = AgentHarness()
    harness.close_window()
    many = [hold(f"low{i}", 2, deadline_ms=60_000) for i in range(10)]
    harness.put(*many)
    harness.put(seconds=5.0)
    harness.put(hold("next", 2, deadline_ms=8000))
    assert harness.displaced == {"next": Reason.HOPELESS}
    tops = [hold(f"top{i}", 1, deadline_ms=60_000) for i in range(10)]
    harness.put(*tops)
    harness.put(seconds=5.0)
    harness.put(hold("middle", 1, deadline_ms=8000))
    assert "middle" not in harness.displaced


def test_suspect_engine_gets_no_grants() -> None:
    harness = AgentHarness()
    harness.world.model.record_start("running", 10, 20, harness.now)
    harness.put(hold("r1"), seconds=30.0)
    assert not harness.granted
    harness.world.model.record_tokens("running", 1, harness.now)
    harness.put()
    assert harness.granted == ["r1"]


def test_lane_depends_on_cost() -> None:
    harness = AgentHarness()
    harness.close_window()
    harness.put(hold("short", tokens=10), hold("long", tokens=1000, deadline_ms=300_000))
    lanes = {item.rid: item.lane for item in harness.world.queue}
    assert lanes == {"short": Lane.SHORT, "long": Lane.LONG}
