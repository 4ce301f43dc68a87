"""Tests that a request runs at most once when the outcome of a commit is unknown."""

from dockreach.agent_tables import EngineChunk, EngineEnded, EngineNotRun, EngineResumed
from dockreach.entry_tables import AgentGone, AttachRun, Phase
from dockreach.messages import Chunk, Hold
from dockreach.verdict import Reason, Verdict

from .cores import SimulatedNetwork, new_admit, new_network


def commit_request(net: SimulatedNetwork, rid: str = "r1") -> str:
    """Admit a request and step until it is committed; return the agent's name."""
    net.deliver("n0", new_admit(rid))
    net.steps(6)
    row = net.request(rid)
    assert row.phase is Phase.COMMITTED
    return row.agent


def finish_run(net: SimulatedNetwork, agent: str, rid: str = "r1", chunks: int = 1) -> None:
    for number in range(chunks):
        net.deliver(agent, EngineChunk(Chunk(rid, number, b"x", 1, 200, "text/plain")))
    net.deliver(agent, EngineEnded(rid, True, chunks))
    net.steps(4)


def test_request_gets_complete_answer() -> None:
    net = new_network()
    agent = commit_request(net)
    finish_run(net, agent, chunks=3)
    row = net.request("r1")
    assert row.refusal is None
    assert b"".join(chunk.data for chunk in row.ready_chunks) == b"xxx"
    assert net.run_count("r1") == 1


def test_lost_commit_is_fenced_before_retry() -> None:
    net = new_network()
    net.deliver("n0", new_admit("r1"))
    while net.request_phase("r1") is not Phase.COMMITTED:
        net.step()
    agent = net.request("r1").agent
    net.unlink("n0", agent)
    net.steps(3)
    assert net.request("r1").phase is Phase.UNCLEAR
    assert len(net.commits("r1")) == 1
    net.link("n0", agent)
    net.steps(12)
    assert net.run_count("r1") == 1
    assert [step.event for step in net.request("r1").decisions].count("commit") == 2


def test_link_lost_after_dispatch_resumes_same_run() -> None:
    net = new_network()
    agent = commit_request(net)
    net.deliver(agent, EngineChunk(Chunk("r1", 0, b"a", 1, 200, "text/plain")))
    net.steps(2)
    net.unlink("n0", agent)
    net.steps(2)
    net.deliver(agent, EngineChunk(Chunk("r1", 1, b"b", 1)))
    net.deliver(agent, EngineEnded("r1", True, 2))
    net.steps(3)
    net.link("n0", agent)
    net.steps(6)
    row = net.request("r1")
    assert row.refusal is None
    assert b"".join(chunk.data for chunk in row.ready_chunks) == b"ab"
    assert net.run_count("r1") == 1


def test_unreachable_agent_gives_may_have_run_without_second_dispatch() -> None:
    net = new_network()
    agent = commit_request(net)
    net.unlink("n0", agent)
    net.steps(30, 0.25)
    refusal = net.request("r1").refusal
    assert refusal is not None
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    assert refusal.reason is Reason.AGENT_UNREACHABLE
    assert len(net.commits("r1")) == 1


def test_deleted_vm_ends_request_immediately() -> None:
    net = new_network()
    agent = commit_request(net)
    net.unlink("n0", agent)
    net.steps(2)
    net.deliver("n0", AgentGone(), agent)
    net.steps(2)
    refusal = net.request("r1").refusal
    assert refusal is not None
    assert refusal.verdict is Verdict.MAY_HAVE_RUN


def test_restarted_agent_resumes_run_known_to_engine() -> None:
    net = new_network()
    agent = commit_request(net)
    net.restart_agent(agent)
    net.steps(3)
    net.deliver(agent, EngineResumed("r1", "n0", True, 0))
    net.steps(2)
    finish_run(net, agent)
    row = net.request("r1")
    assert row.refusal is None
    assert net.run_count("r1") == 1


def test_restarted_agent_without_run_gives_may_have_run() -> None:
    net = new_network()
    agent = commit_request(net)
    net.restart_agent(agent)
    net.steps(3)
    net.deliver(agent, EngineResumed("r1", "n0", False, 0))
    net.steps(3)
    refusal = net.request("r1").refusal
    assert refusal is not None
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    assert net.run_count("r1") == 1


def test_request_refused_by_engine_is_committed_again() -> None:
    net = new_network()
    agent = commit_request(net)
    net.deliver(agent, EngineNotRun("r1"))
    net.steps(8)
    row = net.request("r1")
    assert row.phase is Phase.COMMITTED
    assert len(net.commits("r1")) == 2


def test_answer_with_missing_chunks_is_not_complete() -> None:
    net = new_network()
    agent = commit_request(net)
    net.deliver(agent, EngineChunk(Chunk("r1", 0, b"a", 1, 200, "text/plain")))
    net.deliver(agent, EngineEnded("r1", True, 5))
    net.steps(4)
    refusal = net.request("r1").refusal
    assert refusal is not None
    assert refusal.verdict is Verdict.RAN


def test_commit_with_expired_grant_is_refused_and_placed_again() -> None:
    net = new_network()
    net.deliver("n0", new_admit("r1"))
    net.steps(3)
    while net.request("r1").phase is not Phase.COMMITTED:
        net.step()
    agent = net.request("r1").agent
    net.paused.add(agent)
    net.steps(3)
    net.now += 5.0
    net.paused.clear()
    net.steps(12)
    assert net.run_count("r1") == 1
    assert len(net.commits("r1")) == 2


def test_ticket_attaches_only_for_its_own_organisation() -> None:
    net = new_network(entries=2)
    agent = commit_request(net)
    finish_run(net, agent)
    for organisation, verdict in (("other", Verdict.MAY_HAVE_RUN), ("org", None)):
        message = AttachRun("r1", organisation, 0, "", 5.0, agent, 1, True)
        net.deliver("n1", message)
        net.steps(4)
        refusal = net.request("r1", "n1").refusal
        actual_verdict = None if refusal is None else refusal.verdict
        assert actual_verdict is verdict
    assert net.run_count("r1") == 1


def test_drained_agents_are_not_sent_holds_in_a_loop() -> None:
    net = new_network()
    for world in net.agents.values():
        world.drained = True
    net.deliver("n0", new_admit("r1"))
    net.steps(40)
    holds = [item for _, _, item in net.sent_messages if isinstance(item, Hold)]
    assert len(holds) <= 4
    for world in net.agents.values():
        world.drained = False
    net.steps(60)
    assert net.request("r1").phase is Phase.COMMITTED


def test_request_to_drained_pool_is_refused_with_retry_after() -> None:
    net = new_network()
    for world in net.agents.values():
        world.drained = True
    net.deliver("n0", new_admit("r1"))
    net.steps(60, 0.1)
    refusal = net.request("r1").refusal
    assert refusal is not None
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.reason is Reason.NO_ENDPOINT
    assert refusal.retry_after_s


def slow_and_fast_agent() -> SimulatedNetwork:
    """Return a network in which the engine of `e0` is known to be slow."""
    net = new_network()
    net.agents["e0"].model.gap = 0.4
    return net


def test_a_late_reply_of_an_agent_does_not_send_a_request_to_a_slow_engine() -> None:
    net = slow_and_fast_agent()
    net.deliver("n0", new_admit("r1"))
    net.step()
    net.paused.add("e1")
    net.steps(20)
    net.paused.clear()
    net.steps(6)
    assert net.request("r1").phase is Phase.COMMITTED
    assert net.request("r1").agent == "e1"


def test_an_agent_without_a_reply_does_not_delay_a_request_without_end() -> None:
    net = slow_and_fast_agent()
    net.paused.add("e1")
    net.deliver("n0", new_admit("r1"))
    net.steps(100)
    assert net.request("r1").phase is Phase.COMMITTED
    assert net.request("r1").agent == "e0"


def test_an_agent_without_a_reply_hardly_delays_a_request_at_a_fast_engine() -> None:
    net = slow_and_fast_agent()
    net.paused.add("e0")
    net.deliver("n0", new_admit("r1"))
    net.steps(10)
    assert net.request("r1").phase is Phase.COMMITTED
    assert net.request("r1").agent == "e1"
