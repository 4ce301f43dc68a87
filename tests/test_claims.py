"""Tests that a request with an idempotency key runs once, whatever fails in between."""

import msgspec

from dockreach.agent_tables import EngineChunk, EngineEnded
from dockreach.claims import begin_rebuild
from dockreach.entry_tables import Phase
from dockreach.messages import Chunk, Claim, ClaimReply, Commit, KnownRun, RebuildReply
from dockreach.placement import owner_of
from dockreach.verdict import Reason, Verdict

from .cores import SimulatedNetwork, new_admit, new_network

RID = "k-1"


def send_keyed_request(net: SimulatedNetwork, entry: str, rounds: int = 10) -> None:
    net.deliver(entry, new_admit(RID, key=True))
    net.steps(rounds)


def answer_runs(net: SimulatedNetwork) -> None:
    for agent, rid in set(net.dispatched):
        net.deliver(agent, EngineChunk(Chunk(rid, 0, b"x", 1, 200, "text/plain")))
        net.deliver(agent, EngineEnded(rid, True, 1))
    net.steps(4)


def test_owner_of_key_does_not_run_its_request() -> None:
    net = new_network(endpoints=3)
    for index in range(20):
        net.deliver("n0", new_admit(f"k-{index}", key=True))
    net.steps(10)
    for agent, rid in net.dispatched:
        assert agent != owner_of(net.entries["n0"], rid)
    assert net.dispatched


def test_retry_through_another_entry_attaches_to_run() -> None:
    net = new_network(endpoints=3, entries=2)
    send_keyed_request(net, "n0")
    net.paused.add("n0")
    send_keyed_request(net, "n1")
    answer_runs(net)
    row = net.request(RID, "n1")
    assert row.refusal is None
    assert row.ready_chunks[0].data == b"x"
    assert net.run_count(RID) == 1


def test_retry_after_end_gets_stored_answer() -> None:
    net = new_network(endpoints=3, entries=2)
    send_keyed_request(net, "n0")
    answer_runs(net)
    send_keyed_request(net, "n1")
    assert net.request(RID, "n1").refusal is None
    assert net.run_count(RID) == 1


def test_restarted_owner_rebuilds_claims_from_runs() -> None:
    net = new_network(endpoints=3, entries=2)
    send_keyed_request(net, "n0")
    owner = owner_of(net.entries["n1"], RID)
    assert owner is not None
    net.restart_agent(owner)
    net.steps(2)
    begin_rebuild(net.agents[owner])
    net.paused.add("n0")
    net.inboxes.pop("n0", None)
    net.unlink("n0", owner)
    send_keyed_request(net, "n1", 20)
    answer_runs(net)
    assert net.run_count(RID) == 1
    assert net.request(RID, "n1").refusal is None


def test_restarted_owner_answers_no_claim_before_rebuild() -> None:
    net = new_network(endpoints=3, entries=2)
    owner = owner_of(net.entries["n0"], RID)
    assert owner is not None
    net.restart_agent(owner)
    net.steps(3)
    send_keyed_request(net, "n0")
    assert net.request(RID).phase is Phase.WAITING
    assert not net.commits(RID)
    begin_rebuild(net.agents[owner])
    net.steps(12)
    assert net.run_count(RID) == 1


def test_unreachable_owner_gives_may_have_run() -> None:
    net = new_network(endpoints=3)
    owner = owner_of(net.entries["n0"], RID)
    assert owner is not None
    net.unlink("n0", owner)
    net.steps(2)
    send_keyed_request(net, "n0")
    refusal = net.request(RID).refusal
    assert refusal is not None
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    assert refusal.reason is Reason.CLAIM_UNCERTAIN


def test_binding_without_commit_is_fenced_and_placed_again() -> None:
    net = new_network(endpoints=3, entries=2)
    net.deliver("n0", new_admit(RID, key=True))
    while net.request_phase(RID) is not Phase.BINDING:
        net.step()
    net.step()
    net.paused.add("n0")
    late = net.inboxes.pop("n0", [])
    send_keyed_request(net, "n1", 20)
    assert net.run_count(RID) == 1
    net.paused.clear()
    net.inboxes["n0"] = late
    net.steps(12)
    assert any(isinstance(item, Commit) for _, _, item in net.sent_messages)
    assert net.run_count(RID) == 1


def test_key_reused_with_another_body_is_refused() -> None:
    net = new_network(endpoints=3, entries=2)
    send_keyed_request(net, "n0")
    changed = msgspec.structs.replace(new_admit(RID, key=True), digest="e")
    net.deliver("n1", changed)
    net.steps(6)
    refusal = net.request(RID, "n1").refusal
    assert refusal is not None
    assert refusal.reason is Reason.KEY_REUSED


def test_second_attempt_at_same_entry_supersedes_first() -> None:
    net = new_network(endpoints=3)
    send_keyed_request(net, "n0", 2)
    send_keyed_request(net, "n0", 12)
    answer_runs(net)
    assert net.request(RID).refusal is None
    assert net.run_count(RID) == 1


def test_late_refusal_does_not_undo_later_binding_to_same_agent() -> None:
    """A refusal counts only against the binding whose number it names.

    Agent ``first`` refuses the expired commit of entry n0, but n0 receives the refusal
    late. Meanwhile a retry through n1 is bound to ``first`` again and runs there. If n0
    could then refute that binding, the request would run a second time at ``second``.
    Found by the model checker: spec/dispatch.pml, rule NO_NUMBER.
    """
    net = new_network(endpoints=3, entries=2)
    owner = owner_of(net.entries["n0"], RID)
    first, second = sorted(set(net.agents) - {str(owner)})
    for entry in ("n0", "n1"):
        net.unlink(entry, second)
    net.steps(2)
    net.deliver("n0", new_admit(RID, key=True))
    while net.request_phase(RID) is not Phase.COMMITTED:
        net.step()
    net.paused.add(first)
    net.step()
    net.now += 5.0
    net.paused = {"n0"}
    net.step()
    late = net.inboxes.pop("n0", [])
    send_keyed_request(net, "n1", 20)
    assert net.dispatched == [(first, RID)]
    net.paused = {first}
    net.inboxes["n0"] = late
    net.link("n0", second)
    net.steps(20)
    assert net.dispatched == [(first, RID)]


def test_rebuilt_owner_keeps_all_reported_commits() -> None:
    """A rebuilt owner keeps the commits of one key to several agents.

    Two entries may have committed the request to different agents before the restart. If
    the owner kept one of them only, the key would be free once that one is refuted, while
    the other may still run the request.
    Found by the model checker: spec/dispatch.pml, rule NO_OTHERS.
    """
    net = new_network(endpoints=3)
    world = net.agents["e0"]
    net.restart_agent("e0")
    net.steps(2)
    world = net.agents["e0"]
    begin_rebuild(world)
    for agent in ("e1", "e2"):
        runs = (KnownRun(rid=RID, agent=agent, incarnation=1),)
        net.deliver("e0", RebuildReply("e0", world.incarnation, "n0", runs), "n0")
    net.steps(6)
    net.sent_messages.clear()
    net.deliver("e0", Claim(rid=RID), "n0")
    net.steps(2)
    replies = [item for _, _, item in net.sent_messages if isinstance(item, ClaimReply)]
    refuted = replies[0].state
    net.deliver("e0", Claim(rid=RID, refuted=refuted.number), "n0")
    net.steps(2)
    replies = [item for _, _, item in net.sent_messages if isinstance(item, ClaimReply)]
    assert {replies[0].state.agent, replies[1].state.agent} == {"e1", "e2"}
