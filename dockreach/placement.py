"""Entry systems that send holds to agents and choose among the grants they return.

A hold asks an agent for a slot. The agent answers with an offer (an estimate), and with
a grant once it has a slot; the entry accepts the best grant and declines or withdraws
the others.
"""

from __future__ import annotations

from collections.abc import Iterable

from . import shedding
from .entry_tables import (
    Admit,
    EntryWorld,
    OfferRow,
    Phase,
    RequestRow,
    receive,
)
from .granting import MS_PER_S
from .messages import Claim, Decline, Displaced, Grant, Hold, Offer, Withdraw
from .rendezvous import choose, ranked
from .verdict import Reason, Refusal, Verdict

AFFINITY_AGENTS = 2
"""Number of agents preferred by the hash of a prompt's first block (cache affinity)."""

MIN_DECLINE_GAIN_S = 0.02
"""Minimum gain in price for which a grant is declined in favour of an offer."""

TRANSIENT_REASONS = frozenset({Reason.GRANT_VOID, Reason.STOPPING})
"""Reasons for displacing a hold that do not count as a refusal by the agent."""


@receive.register
def _(message: Admit, world: EntryWorld, peer: str) -> None:
    del peer
    supersede(world, message.rid)
    req = RequestRow(
        rid=message.rid,
        organisation=message.organisation,
        tier=message.tier,
        share=world.declarations.organisations[message.organisation].share,
        pool=message.pool,
        deadline=world.now + message.deadline_s,
        arrived_at=world.now,
        prompt_tokens=message.prompt_tokens,
        output_tokens=message.output_tokens,
        blocks=message.blocks,
        method=message.method,
        path=message.path,
        body=message.body,
        content_type=message.content_type,
        stream=message.stream,
        caller=message.caller,
        keyed=message.keyed,
        digest=message.digest,
        repeatable=message.repeatable,
    )
    world.counters.admitted += 1
    world.retry_budget.record_request()
    world.requests[req.rid] = req
    world.record_decision(
        req, "admitted", detail=f"tier {req.tier}, {req.prompt_tokens} tokens"
    )
    if shedding.refuse_below_floor(world, req):
        return
    world.add_waiting(req)
    world.schedule_check(req.deadline, req.rid)
    if req.keyed and not claim_key(world, req):
        return
    send_holds(world, req)


def supersede(world: EntryWorld, rid: str) -> None:
    """End an earlier attempt of a request at this entry; its run, if any, continues."""
    earlier = world.requests.get(rid)
    if earlier is not None:
        detail = "a later attempt of this request superseded it"
        refusal = Refusal(Verdict.MAY_HAVE_RUN, Reason.SUPERSEDED, detail)
        shedding.finish(world, earlier, refusal)


def owner_of(world: EntryWorld, rid: str) -> str | None:
    """Return the endpoint that owns a key, by rendezvous hashing over those declared."""
    return choose(rid, world.declarations.endpoints)


def claim_key(world: EntryWorld, req: RequestRow) -> bool:
    """Claim a request's key at its owner; refuse the request if that is unreachable."""
    owner = owner_of(world, req.rid)
    row = world.agents.get(owner or "")
    if row is None or not row.linked:
        refusal = Refusal(
            Verdict.MAY_HAVE_RUN,
            Reason.CLAIM_UNCERTAIN,
            "the owner of this idempotency key is unreachable; an earlier attempt may run",
            2.0,
        )
        shedding.finish(world, req, refusal)
        return False
    world.record_decision(req, "claim", row.name)
    message = Claim(rid=req.rid, digest=req.digest, refuted=req.refuted)
    world.send(row.name, message)
    return True


def candidate_agents(world: EntryWorld, req: RequestRow) -> list[str]:
    """Return the agents that a hold may be sent to, the preferred ones first.

    The owner of a request's key does not run it, unless it is the only usable agent, so
    that one failure cannot lose both the claim and the run.
    """
    usable = [name for name in world.pools.get(req.pool, []) if is_open(world, name)]
    if req.keyed and len(usable) > 1:
        owner = owner_of(world, req.rid)
        usable = [name for name in usable if name != owner]
    if len(usable) <= world.policy.max_ask_all or not req.blocks:
        return usable
    by_prefix = ranked(str(req.blocks[0]), usable)
    preferred = by_prefix[:AFFINITY_AGENTS]
    rest = by_prefix[AFFINITY_AGENTS:]
    world.rng.shuffle(rest)
    return preferred + rest


def is_open(world: EntryWorld, name: str) -> bool:
    """Return whether an agent may receive new work."""
    row = world.agents.get(name)
    if row is None or not row.linked or row.leaving or world.now < row.not_asked_until:
        return False
    endpoint = world.declarations.endpoints.get(name)
    return endpoint is not None and not endpoint.drained


def send_holds(world: EntryWorld, req: RequestRow) -> None:
    """Send holds to some agents, and to more of them with each call."""
    names = [
        name
        for name in candidate_agents(world, req)
        if name not in req.asked_agents and name not in req.rejections
    ]
    policy = world.policy
    count = len(names)
    if len(names) + len(req.asked_agents) > policy.max_ask_all:
        count = policy.initial_agents << req.widen_step
    req.widen_step = min(req.widen_step + 1, 10)
    for name in names[:count]:
        send_hold(world, req, name)
    req.offers_until = world.now + policy.offers_wait_s
    world.schedule_check(req.offers_until, req.rid)
    if count < len(names):
        req.widen_at = world.now + policy.widen_delay_s
        world.schedule_check(req.widen_at, req.rid)
    else:
        req.widen_at = 0.0
    if not req.asked_agents:
        _wait_or_refuse(world, req)


def _wait_or_refuse(world: EntryWorld, req: RequestRow) -> None:
    """Wait for a short time if no agent refused but none accepts new work at present."""
    timed_out = world.now >= req.arrived_at + world.policy.no_agent_timeout_s
    if req.rejections or timed_out or not world.pools.get(req.pool):
        refuse_unplaced(world, req)
        return
    req.widen_at = world.now + world.policy.reask_delay_s
    world.schedule_check(req.widen_at, req.rid)


def send_hold(world: EntryWorld, req: RequestRow, name: str) -> None:
    """Send a hold for a request to one agent."""
    req.asked_agents.add(name)
    world.requests_at_agent.setdefault(name, set()).add(req.rid)
    hold = Hold(
        rid=req.rid,
        organisation=req.organisation,
        tier=req.tier,
        deadline_ms=int((req.deadline - world.now) * MS_PER_S),
        prompt_tokens=req.prompt_tokens,
        output_tokens=req.output_tokens,
        share=req.share,
        blocks=req.blocks,
    )
    world.record_decision(req, "hold", name)
    world.send(name, hold)


def forget_hold(world: EntryWorld, req: RequestRow, name: str) -> None:
    """Remove an agent's hold, offer and grant from a request."""
    req.asked_agents.discard(name)
    req.answered_agents.discard(name)
    req.offers.pop(name, None)
    req.grants.pop(name, None)
    world.requests_at_agent.get(name, set()).discard(req.rid)


def withdraw_all(world: EntryWorld, req: RequestRow, but: str = "") -> None:
    """Withdraw a request from all agents that hold it, except one."""
    for name in sorted(req.asked_agents):
        if name != but:
            world.send(name, Withdraw(rid=req.rid, served=bool(but)))
            world.requests_at_agent.get(name, set()).discard(req.rid)
    req.asked_agents.clear()
    req.answered_agents.clear()
    req.offers.clear()
    req.grants.clear()


@receive.register
def _(message: Offer, world: EntryWorld, peer: str) -> None:
    req = world.requests.get(message.rid)
    if req is None or not req.is_waiting or peer not in req.asked_agents:
        return
    offer = OfferRow(
        starts_at=world.now + message.wait_ms / MS_PER_S,
        prefill_s=message.prefill_ms / MS_PER_S,
        total_s=message.total_ms / MS_PER_S,
    )
    req.offers[peer] = offer
    req.answered_agents.add(peer)
    world.undecided.add(req.rid)
    detail = f"wait {message.wait_ms} ms, complete in {message.total_ms} ms"
    world.record_decision(req, "offer", peer, f"{detail}, {message.cached_tokens} cached")


@receive.register
def _(message: Grant, world: EntryWorld, peer: str) -> None:
    req = world.requests.get(message.rid)
    if req is None or req.phase is not Phase.WAITING:
        world.send(peer, Withdraw(rid=message.rid))
        if req is not None:
            forget_hold(world, req, peer)
        return
    req.grants[peer] = message
    req.answered_agents.add(peer)
    world.undecided.add(req.rid)
    detail = f"complete in {message.total_ms} ms, {message.cached_tokens} cached"
    world.record_decision(req, "grant", peer, detail)


@receive.register
def _(message: Displaced, world: EntryWorld, peer: str) -> None:
    req = world.requests.get(message.rid)
    if req is None or peer not in req.asked_agents:
        return
    forget_hold(world, req, peer)
    world.undecided.add(req.rid)
    world.record_decision(req, "displaced", peer, message.reason.value)
    if not req.is_waiting:
        return
    if message.reason not in TRANSIENT_REASONS:
        req.rejections[peer] = message.reason
    elif message.reason is Reason.STOPPING and peer in world.agents:
        world.agents[peer].not_asked_until = world.now + world.policy.reask_delay_s
    shorter = min(req.retry_ms or message.retry_ms, message.retry_ms)
    req.retry_ms = shorter
    if message.reason is Reason.GRANT_VOID and is_open(world, peer):
        send_hold(world, req, peer)
    elif not req.asked_agents and req.phase is Phase.WAITING:
        send_holds(world, req)


def refuse_unplaced(world: EntryWorld, req: RequestRow) -> None:
    """Refuse a request that no agent of its pool holds any longer."""
    reasons = set(req.rejections.values())
    for reason in (Reason.SHED, Reason.FLOOR, Reason.HOPELESS):
        if reason in reasons:
            break
    else:
        reason = Reason.NO_ENDPOINT
    retry_s = max(0.5, req.retry_ms / MS_PER_S)
    names = ", ".join(sorted(req.rejections))
    detail = f"no agent accepted the request ({names or 'none reachable'})"
    refusal = Refusal(shedding.waiting_verdict(req), reason, detail, retry_s)
    shedding.finish(world, req, refusal)


def choose_grant(world: EntryWorld, req: RequestRow) -> Grant | None:
    """Return the best grant, and decline all others.

    The price of a grant is the time to the complete answer plus the weighted time of its
    prefill. The best grant is declined too, and ``None`` returned, if another agent's
    offer is clearly cheaper. An offer whose predicted start has passed does not count.
    """
    if not req.grants:
        return None
    best_name = min(req.grants, key=lambda name: _grant_price(world, req.grants[name]))
    best_price = lowest_price(world, req)
    offer_price = _best_offer(world, req, set(req.grants))
    for name in sorted(set(req.grants) - {best_name}):
        _decline(world, req, name, "another grant has a lower price")
    if offer_price + MIN_DECLINE_GAIN_S < world.policy.decline_ratio * best_price:
        detail = f"price {best_price:.3f}, best offer {offer_price:.3f}"
        _decline(world, req, best_name, detail)
        return None
    return req.grants[best_name]


def lowest_price(world: EntryWorld, req: RequestRow) -> float:
    """Return the price of the cheapest grant, in seconds."""
    return min(_grant_price(world, grant) for grant in req.grants.values())


def _grant_price(world: EntryWorld, grant: Grant) -> float:
    return _price(world, grant.prefill_ms / MS_PER_S, grant.total_ms / MS_PER_S)


def _price(world: EntryWorld, prefill_s: float, total_s: float) -> float:
    return total_s + world.declarations.fleet.prefill_weight * prefill_s


def _best_offer(world: EntryWorld, req: RequestRow, skip: Iterable[str]) -> float:
    best = float("inf")
    for name, offer in req.offers.items():
        if name in skip or offer.starts_at < world.now:
            continue
        wait = offer.starts_at - world.now
        best = min(best, wait + _price(world, offer.prefill_s, offer.total_s))
    return best


def _decline(world: EntryWorld, req: RequestRow, name: str, detail: str) -> None:
    grant = req.grants.pop(name)
    world.counters.declined += 1
    world.record_decision(req, "declined", name, detail)
    world.send(name, Decline(rid=req.rid, number=grant.number))
