"""Failures of real processes: requests run at most once, according to the engines' logs."""

from __future__ import annotations

import signal
import socket
from collections.abc import Iterator

import pytest

from dockreach.launching import Deployment, stopped, wait_until
from dockreach.rendezvous import choose
from dockreach.request_parsing import keyed_rid

from .fleet import Caller, deployed, fleet, running


@pytest.fixture
def pair() -> Iterator[Deployment]:
    yield from deployed(fleet(2))


@pytest.fixture
def trio() -> Iterator[Deployment]:
    yield from deployed(fleet(3))


def test_request_of_a_killed_engine_is_not_run_again(pair: Deployment) -> None:
    """The response breaks off; a second run could repeat the effects of the first one."""
    caller = Caller(pair, tokens=200).started()
    engine = running(pair)
    pair.engines[engine].kill()
    caller.end()
    assert not caller.whole
    assert b'"verdict":"ran"' in caller.data
    assert pair.runs_of(caller.rid) == 0


def test_response_is_complete_after_a_restart_of_the_agent(pair: Deployment) -> None:
    """The new agent must find the run at its engine instead of starting another one."""
    caller = Caller(pair, tokens=200).started()
    engine = running(pair)
    pair.agents[engine].kill()
    pair.restart_agent(engine)
    assert caller.end().whole
    assert pair.runs_of(caller.rid) == 1


def test_request_of_a_lost_agent_gets_an_uncertain_verdict(pair: Deployment) -> None:
    """Without the agent, there is no proof that the request did not run."""
    caller = Caller(pair, tokens=400, stream=False)
    engine = running(pair)
    pair.agents[engine].kill()
    caller.end()
    assert caller.verdict == "may_have_run"
    assert pair.runs_of(caller.rid) == 1


def test_retry_by_key_attaches_to_the_run_of_a_killed_entry(trio: Deployment) -> None:
    first = Caller(trio, "entry1", tokens=200, key="k1").started()
    trio.entries["entry1"].kill()
    second = Caller(trio, "entry2", tokens=200, key="k1").end()
    assert second.whole
    first.end()
    assert trio.runs_of(keyed_rid("org", "k1")) == 1


def test_retry_by_ticket_attaches_to_the_run_of_a_killed_entry(trio: Deployment) -> None:
    first = Caller(trio, "entry1", tokens=200).started()
    trio.entries["entry1"].kill()
    ticket = first.end().headers["Dockreach-Ticket"]
    second = Caller(trio, "entry2", tokens=200, headers={"Dockreach-Ticket": ticket})
    assert second.end().whole
    assert trio.runs_of(first.rid) == 1


def test_retry_by_key_after_entry_and_owner_of_the_key_were_killed(
    trio: Deployment,
) -> None:
    """The restarted owner has lost its claims; it must not let the request run again."""
    Caller(trio, "entry1", tokens=200, key="k2").started()
    rid = keyed_rid("org", "k2")
    owner = choose(rid, trio.agents)
    assert owner is not None
    trio.entries["entry1"].kill()
    trio.agents[owner].kill()
    trio.restart_agent(owner)
    second = Caller(trio, "entry2", tokens=200, key="k2").end()
    assert trio.runs_of(rid) == 1
    assert second.whole or second.verdict == "may_have_run"


def test_agent_that_was_stopped_and_continued_runs_nothing_twice(pair: Deployment) -> None:
    """While it is stopped it looks lost; afterwards it may still hold old commits."""
    caller = Caller(pair, tokens=400, stream=False)
    engine = running(pair)
    with stopped(pair.agents[engine]):
        caller.end()
    assert caller.verdict == "may_have_run"
    wait_until(lambda: pair.get(pair.agents[engine], "/readyz").status == 200, "ready")
    assert Caller(pair, tokens=10).end().whole
    assert pair.runs_of(caller.rid) == 1


def test_entry_that_was_stopped_and_continued_runs_nothing_twice(pair: Deployment) -> None:
    """Meanwhile another entry may have sent the request with the same key."""
    caller = Caller(pair, "entry1", tokens=60, key="k3").started()
    with stopped(pair.entries["entry1"]):
        other = Caller(pair, "entry2", tokens=60, key="k3").end()
    caller.end()
    assert other.whole or other.verdict == "may_have_run"
    assert pair.runs_of(keyed_rid("org", "k3")) == 1


def test_response_is_resumed_after_a_cut_between_agent_and_engine(pair: Deployment) -> None:
    for name in pair.engines:
        pair.control(name, cut_after=10)
    caller = Caller(pair, tokens=60).end()
    assert caller.whole
    assert pair.runs_of(caller.rid) == 1


def test_chunks_that_arrive_out_of_order_are_reordered(pair: Deployment) -> None:
    for name in pair.engines:
        pair.control(name, reorder=True)
    assert Caller(pair, tokens=60).end().whole


def test_stopping_an_entry_does_not_cut_responses(pair: Deployment) -> None:
    caller = Caller(pair, "entry1", tokens=150).started()
    entry = pair.entries["entry1"]
    entry.send(signal.SIGTERM)
    wait_until(lambda: pair.get(entry, "/readyz").status == 503, "readiness failing")
    late = Caller(pair, "entry1", tokens=5).end()
    assert late.error or late.verdict == "not_run"
    assert caller.end().whole
    assert entry.popen.wait(30) == 0


def test_stopping_an_agent_does_not_cut_responses(pair: Deployment) -> None:
    caller = Caller(pair, tokens=150).started()
    agent = pair.agents[running(pair)]
    agent.send(signal.SIGTERM)
    assert caller.end().whole
    assert agent.popen.wait(30) == 0


def test_leaving_endpoint_receives_no_new_requests(pair: Deployment) -> None:
    pair.publish_vms(leaving=("engine0",))
    agent = pair.agents["engine0"]
    wait_until(lambda: any(row.get("event") == 203 for row in agent.events()), "leaving")
    before = len(pair.run_log()["engine0"])
    callers = [Caller(pair, tokens=10) for _ in range(12)]
    assert all(caller.end().whole for caller in callers)
    assert len(pair.run_log()["engine0"]) == before


def test_drained_endpoint_receives_no_new_requests(pair: Deployment) -> None:
    body = pair.spec.declarations(2).replace(
        "[endpoint engine0]\n", "[endpoint engine0]\ndrained=yes\n"
    )
    pair.admin(config=body, revision=2)
    for process in [*pair.entries.values(), *pair.agents.values()]:
        wait_until(
            lambda process=process: any(
                row.get("revision") == 2 and row.get("event") == 300
                for row in process.events()
            ),
            "revision 2",
        )
    callers = [Caller(pair, tokens=10) for _ in range(8)]
    assert all(caller.end().whole for caller in callers)
    assert not pair.run_log()["engine0"]


def test_run_is_cancelled_when_its_caller_leaves(pair: Deployment) -> None:
    body = b'{"model":"m","prompt":"x","max_tokens":400,"stream":true}'
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer org-key\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode()
    conn = socket.create_connection(("127.0.0.1", pair.entries["entry1"].http))
    conn.sendall(head + body)
    engine = running(pair)
    conn.close()

    def cancelled() -> bool:
        rows = pair.run_log()[engine].values()
        return any(row["ended"] == "cancelled" for row in rows)

    wait_until(cancelled, "run cancelled at the engine")


def test_slow_engine_soon_receives_few_requests(pair: Deployment) -> None:
    """A slow engine must be detected by its runs, or callers keep waiting for it."""
    pair.control("engine0", slow=20.0)
    warm = [Caller(pair, tokens=20, prompt=f"w{index}") for index in range(6)]
    assert all(caller.end().whole for caller in warm)
    before = len(pair.run_log()["engine0"])
    callers = []
    for index in range(20):
        callers.append(Caller(pair, tokens=20, prompt=f"p{index}").end())
    assert all(caller.whole for caller in callers)
    slow_runs = len(pair.run_log()["engine0"]) - before
    assert slow_runs <= 6
