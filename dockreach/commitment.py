"""Entry systems that commit a request to one agent and determine its outcome.

A commit sends the request to the agent whose grant was chosen. The request is dispatched
again only after a proof that it was not run: a `Refused`, or a `FenceReply` with the
verdict `NOT_RUN`, for the grant that was committed.
"""

from __future__ import annotations

from . import placement, shedding
from .claims import is_keyed
from .entry_tables import (
    AttachRun,
    EntryWorld,
    Phase,
    RequestRow,
    receive,
)
from .granting import MS_PER_S
from .messages import (
    Attach,
    Bind,
    BindReply,
    ClaimReply,
    ClaimState,
    Commit,
    FenceReply,
    Grant,
    Refused,
)
from .verdict import Reason, Refusal, Verdict


def choose_grants(world: EntryWorld) -> None:
    """System: choose a grant for each request whose holds or claim have changed."""
    changed_rids = world.undecided
    world.undecided = set()
    for rid in changed_rids:
        req = world.requests.get(rid)
        if req is None or req.phase is not Phase.WAITING or not req.grants:
            continue
        if req.keyed and req.claim is None:
            continue
        if _awaits_answers(world, req):
            continue
        grant = placement.choose_grant(world, req)
        if grant is not None:
            _accept_grant(world, req, grant)


def _awaits_answers(world: EntryWorld, req: RequestRow) -> bool:
    """Return whether to wait for the other agents that were asked.

    The wait is in proportion to the cost of the grants so far: an agent that answers late
    may have a far faster engine.
    """
    if req.asked_agents <= req.answered_agents:
        return False
    policy = world.policy
    wait_s = policy.offers_wait_fraction * placement.lowest_price(world, req)
    until = req.arrived_at + min(wait_s, policy.max_offers_wait_s)
    if world.now >= max(until, req.offers_until):
        return False
    world.schedule_check(max(until, req.offers_until), req.rid)
    return True


def _accept_grant(world: EntryWorld, req: RequestRow, grant: Grant) -> None:
    name = _granting_agent(req, grant)
    req.agent = name
    req.incarnation = grant.incarnation
    req.grant_number = grant.number
    if not req.keyed:
        _commit(world, req)
        return
    req.phase = Phase.BINDING
    req.binding = req.claim or 0
    owner = placement.owner_of(world, req.rid) or ""
    bind = Bind(
        rid=req.rid,
        number=req.claim or 0,
        agent=name,
        incarnation=grant.incarnation,
    )
    world.record_decision(req, "bind", owner, f"to {name}")
    world.send(owner, bind)


def _granting_agent(req: RequestRow, grant: Grant) -> str:
    return next(name for name, row in req.grants.items() if row is grant)


def _commit(world: EntryWorld, req: RequestRow) -> None:
    placement.withdraw_all(world, req, but=req.agent)
    world.remove_waiting(req)
    req.phase = Phase.COMMITTED
    req.attempts += 1
    commit = Commit(
        rid=req.rid,
        number=req.grant_number,
        incarnation=req.incarnation,
        method=req.method,
        path=req.path,
        body=req.body,
        deadline_ms=int((req.deadline - world.now) * MS_PER_S),
        content_type=req.content_type,
        stream=req.stream,
    )
    world.record_decision(req, "commit", req.agent, f"grant {req.grant_number}")
    world.send(req.agent, commit)
    world.schedule_check(req.deadline + world.policy.grace_s, req.rid)


@receive.register
def _(message: ClaimReply, world: EntryWorld, peer: str) -> None:
    req = world.requests.get(message.rid)
    if req is None or not req.is_waiting:
        return
    if message.mismatch:
        detail = "this idempotency key was used with another request"
        refusal = Refusal(Verdict.NOT_RUN, Reason.KEY_REUSED, detail)
        shedding.finish(world, req, refusal)
        return
    if message.state.agent:
        follow_binding(world, req, message.state)
        return
    if not message.certain:
        detail = "the owner of this key lost its state; an earlier attempt may have run"
        refusal = Refusal(Verdict.MAY_HAVE_RUN, Reason.CLAIM_UNCERTAIN, detail, 5.0)
        shedding.finish(world, req, refusal)
        return
    req.claim = message.state.number
    world.record_decision(req, "claimed", peer, f"claim {req.claim}")
    world.undecided.add(req.rid)


def follow_binding(world: EntryWorld, req: RequestRow, state: ClaimState) -> None:
    """Attach to the agent that an earlier attempt of this request was bound to."""
    placement.withdraw_all(world, req)
    world.remove_waiting(req)
    req.claim = None
    req.binding = state.number
    req.agent = state.agent
    req.incarnation = state.incarnation
    req.grant_number = 0
    world.record_decision(req, "follow", state.agent, "an earlier attempt is bound there")
    attach(world, req)


def attach(world: EntryWorld, req: RequestRow) -> None:
    """Ask the bound agent for the answer from the next chunk on, or for a verdict.

    If the agent is not linked, the outcome is unclear for now.
    """
    row = world.agents.get(req.agent)
    world.requests_at_agent.setdefault(req.agent, set()).add(req.rid)
    if row is None or not row.linked:
        mark_unclear(world, req)
        return
    req.phase = Phase.COMMITTED
    message = Attach(
        rid=req.rid,
        incarnation=req.incarnation,
        organisation=req.organisation,
        from_chunk=req.next_chunk,
    )
    world.record_decision(req, "attach", req.agent, f"from chunk {req.next_chunk}")
    world.send(req.agent, message)
    world.schedule_check(req.deadline + world.policy.grace_s, req.rid)


@receive.register
def _(message: AttachRun, world: EntryWorld, peer: str) -> None:
    del peer
    placement.supersede(world, message.rid)
    req = RequestRow(
        rid=message.rid,
        organisation=message.organisation,
        tier=message.tier,
        share=1.0,
        pool=message.pool,
        deadline=world.now + message.deadline_s,
        arrived_at=world.now,
        prompt_tokens=0,
        output_tokens=0,
        blocks=(),
        method="POST",
        path="",
        body=b"",
        content_type="",
        stream=message.stream,
        caller=message.caller,
        keyed=is_keyed(message.rid),
        agent=message.agent,
        incarnation=message.incarnation,
    )
    world.counters.admitted += 1
    world.requests[req.rid] = req
    world.record_decision(req, "ticket", message.agent)
    attach(world, req)


@receive.register
def _(message: BindReply, world: EntryWorld, peer: str) -> None:
    req = world.requests.get(message.rid)
    if req is None or not req.is_waiting:
        return
    bound_here = req.phase is Phase.BINDING and message.state.agent == req.agent
    if message.ok and bound_here:
        _commit(world, req)
        return
    world.record_decision(req, "superseded", peer)
    if message.state.agent:
        follow_binding(world, req, message.state)
        return
    detail = "a later attempt of this request superseded it"
    refusal = Refusal(Verdict.MAY_HAVE_RUN, Reason.SUPERSEDED, detail, 1.0)
    shedding.finish(world, req, refusal)


@receive.register
def _(message: Refused, world: EntryWorld, peer: str) -> None:
    req = world.requests.get(message.rid)
    if req is None or req.agent != peer or message.number != req.grant_number:
        return
    if req.phase not in (Phase.COMMITTED, Phase.UNCLEAR):
        return
    world.record_decision(req, "not run", peer, message.reason.value)
    place_again(world, req, message.reason)


@receive.register
def _(message: FenceReply, world: EntryWorld, peer: str) -> None:
    req = world.requests.get(message.rid)
    if req is None or req.agent != peer:
        return
    if req.phase not in (Phase.COMMITTED, Phase.UNCLEAR):
        return
    world.record_decision(req, "fenced", peer, message.verdict.value)
    if message.verdict is Verdict.NOT_RUN and message.number >= req.grant_number:
        place_again(world, req, Reason.FENCED)
    else:
        verdict = shedding.committed_verdict(req)
        detail = f"the agent of {req.agent} restarted and its engine has no such run"
        shedding.finish(world, req, Refusal(verdict, Reason.AGENT_RESTARTED, detail))


def place_again(world: EntryWorld, req: RequestRow, reason: Reason) -> None:
    """Place a request again, after a proof that it was not run."""
    if req.first_chunk_at is not None:
        shedding.finish(world, req, Refusal(Verdict.RAN, reason, "", 1.0))
        return
    _clear_placement(world, req)
    verdict = shedding.waiting_verdict(req)
    if not req.path:
        shedding.finish(world, req, Refusal(verdict, reason, "", 1.0))
        return
    if req.attempts >= world.policy.max_attempts or not world.retry_budget.try_acquire():
        refusal = Refusal(verdict, Reason.RETRY_BUDGET, reason.value, 1.0)
        shedding.finish(world, req, refusal)
        return
    world.counters.redispatched += 1
    world.add_waiting(req)
    if req.keyed and not placement.claim_key(world, req):
        return
    placement.send_holds(world, req)


def _clear_placement(world: EntryWorld, req: RequestRow) -> None:
    placement.forget_hold(world, req, req.agent)
    req.refuted = req.binding
    req.agent = ""
    req.incarnation = 0
    req.grant_number = 0
    req.widen_step = 0
    req.rejections.clear()
    if req.keyed:
        req.claim = None


def mark_unclear(world: EntryWorld, req: RequestRow) -> None:
    """Mark a committed request as unclear while its agent is unreachable."""
    req.phase = Phase.UNCLEAR
    req.unclear_until = world.now + world.policy.unclear_s
    world.record_decision(req, "unclear", req.agent)
    world.schedule_check(req.unclear_until, req.rid)
