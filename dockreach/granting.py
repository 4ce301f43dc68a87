"""Agent systems that queue holds and grant slots to the best of them.

An entry sends a hold to ask for a slot. The agent answers with an offer (an estimate)
and later with a grant, or displaces the hold: removes it from the queue and reports why.
"""

from __future__ import annotations

import heapq

from .agent_tables import AgentWorld, GrantRow, receive
from .backoff import backoff_after
from .messages import Decline, Displaced, Floor, Grant, Offer, Withdraw
from .messages import Hold as HoldMessage
from .queueing import Hold, Lane
from .verdict import Reason

MS_PER_S = 1000
MAX_DECLINE_PAUSE_S = 1.0


@receive.register
def _(message: HoldMessage, world: AgentWorld, peer: str) -> None:
    world.counters.holds += 1
    earlier = world.holds.get(message.rid)
    if earlier is not None and earlier.entry == peer:
        return
    if earlier is not None:
        drop_hold(world, earlier)
        _displace(world, earlier.rid, earlier.entry, Reason.SUPERSEDED)
    if world.closed:
        _displace(world, message.rid, peer, Reason.STOPPING)
        return
    if _is_below_floor(world, message.tier):
        _displace(world, message.rid, peer, Reason.FLOOR)
        return
    hold = _to_hold(world, message, peer)
    if _would_run_too_long(world, hold) or _would_wait_too_long(world, hold):
        world.counters.hopeless += 1
        _displace(world, hold.rid, peer, Reason.HOPELESS)
        return
    world.holds[hold.rid] = hold
    world.last_hold_at[hold.tier, hold.lane] = world.now
    world.queue.add(hold)
    world.drain_rate.record_waiting(
        hold.tier, world.queue.count_in_tier(hold.tier), world.now
    )
    world.awaiting_offer.append(hold)
    _enforce_queue_limit(world)


@receive.register
def _(message: Withdraw, world: AgentWorld, peer: str) -> None:
    hold = world.holds.get(message.rid)
    if hold is None or hold.entry != peer:
        return
    if message.served:
        world.drain_rate.record_served(hold.tier, world.now)
    drop_hold(world, hold)


@receive.register
def _(message: Decline, world: AgentWorld, peer: str) -> None:
    grant = world.grants.get(message.rid)
    if grant is None or grant.number != message.number or grant.hold.entry != peer:
        return
    del world.grants[message.rid]
    world.queue.refund(grant.hold)
    world.counters.declined += 1
    hold = grant.hold
    pause = backoff_after(
        hold.declines, first=world.policy.decline_pause_s, longest=MAX_DECLINE_PAUSE_S
    )
    hold.declines += 1
    until = world.now + pause
    heapq.heappush(world.paused_holds, (until, hold.rid))


@receive.register
def _(message: Floor, world: AgentWorld, peer: str) -> None:
    until = world.now + message.lease_ms / MS_PER_S
    current = world.floor_tier if world.now < world.floor_until else None
    if current is None or message.tier <= current or world.floor_sender == peer:
        world.floor_tier = message.tier
        world.floor_until = until
        world.floor_sender = peer
    for hold in [row for row in world.queue if _is_below_floor(world, row.tier)]:
        drop_hold(world, hold)
        _displace(world, hold.rid, hold.entry, Reason.FLOOR)


def drop_hold(world: AgentWorld, hold: Hold) -> None:
    """Remove a hold and any grant for it."""
    world.queue.remove(hold)
    world.holds.pop(hold.rid, None)
    if world.grants.pop(hold.rid, None) is not None:
        world.queue.refund(hold)
    world.drain_rate.record_waiting(
        hold.tier, world.queue.count_in_tier(hold.tier), world.now
    )


def displace_when_closed(world: AgentWorld) -> None:
    """System: displace all holds without a grant when no new work may start here."""
    if not world.closed:
        return
    for hold in list(world.holds.values()):
        if hold.rid in world.grants:
            continue
        drop_hold(world, hold)
        _displace(world, hold.rid, hold.entry, Reason.STOPPING)


def resume_paused(world: AgentWorld) -> None:
    """System: queue declined holds again after their delay."""
    while world.paused_holds and world.paused_holds[0][0] <= world.now:
        _, rid = heapq.heappop(world.paused_holds)
        hold = world.holds.get(rid)
        if hold is not None and not hold.is_queued and rid not in world.grants:
            world.queue.add(hold)


def expire_grants(world: AgentWorld) -> None:
    """System: void grants that were not used within their lease."""
    expired = [row for row in world.grants.values() if row.expires_at <= world.now]
    for grant in expired:
        drop_hold(world, grant.hold)
        _displace(world, grant.hold.rid, grant.hold.entry, Reason.GRANT_VOID)


def grant_holds(world: AgentWorld) -> None:
    """System: grant slots to the best holds while the engine has free ones."""
    world.model.adjust_window(world.now)
    if world.closed or world.model.is_suspect(world.now) or world.now < world.backoff_until:
        return
    while True:
        hold = world.queue.pick(lambda tier, lane: _has_free_slot(world, tier, lane))
        if hold is None:
            return
        world.queue.remove(hold)
        if _would_run_too_long(world, hold):
            world.counters.hopeless += 1
            drop_hold(world, hold)
            _displace(world, hold.rid, hold.entry, Reason.HOPELESS)
            continue
        _send_grant(world, hold)


RESERVATION_S = 15.0
"""How long slots stay reserved for a kind of request after the last hold of it."""


def _has_free_slot(world: AgentWorld, tier: int, lane: Lane) -> bool:
    """Return whether a request of this tier and lane may use a slot now.

    Some slots are reserved for higher tiers, and from long requests some more for short
    ones of the same tier or a higher one, as long as such requests arrive. No slots are
    reserved for lower tiers.
    """
    free = int(world.model.window) - world.slots_in_use
    slots = world.model.reserved_slots()
    reserved = 0
    if _was_seen_recently(world, tier - 1, Lane.LONG):
        reserved += slots
    if lane is Lane.LONG and _was_seen_recently(world, tier, Lane.SHORT):
        reserved += slots
    return free > reserved


def _was_seen_recently(world: AgentWorld, lowest: int, longest: Lane) -> bool:
    """Return whether a hold of at least this tier and at most this length came recently."""
    since = world.now - RESERVATION_S
    return any(
        at > since and tier <= lowest and lane <= longest
        for (tier, lane), at in world.last_hold_at.items()
    )


def _send_grant(world: AgentWorld, hold: Hold) -> None:
    world.grant_number += 1
    world.counters.grants += 1
    world.queue.charge(hold)
    cached = world.prefix.cached_tokens(hold.blocks)
    expires = world.now + world.policy.grant_lease_s
    world.grants[hold.rid] = GrantRow(hold, world.grant_number, expires, cached)
    prefill, total = _estimate_times(world, hold, cached)
    message = Grant(
        rid=hold.rid,
        number=world.grant_number,
        incarnation=world.incarnation,
        lease_ms=int(world.policy.grant_lease_s * MS_PER_S),
        cached_tokens=cached,
        prefill_ms=int(prefill * MS_PER_S),
        total_ms=int(total * MS_PER_S),
    )
    world.send(hold.entry, message)


def _to_hold(world: AgentWorld, message: HoldMessage, peer: str) -> Hold:
    hold = Hold(
        rid=message.rid,
        entry=peer,
        organisation=message.organisation,
        tier=message.tier,
        deadline=world.now + message.deadline_ms / MS_PER_S,
        prompt_tokens=message.prompt_tokens,
        output_tokens=message.output_tokens,
        share=message.share,
        blocks=message.blocks,
        arrived_at=world.now,
    )
    if hold.cost > world.policy.max_short_cost:
        hold.lane = Lane.LONG
    return hold


def _estimate_times(world: AgentWorld, hold: Hold, cached: int) -> tuple[float, float]:
    """Return the estimated seconds from the start to the first token and to the end."""
    uncached = max(1, hold.prompt_tokens - cached)
    prefill = world.model.prefill_s(uncached)
    return prefill, prefill + world.model.decode_s(hold.output_tokens)


def _estimate_wait_s(world: AgentWorld, hold: Hold) -> float:
    free = int(world.model.window) - world.slots_in_use
    return world.model.wait_s(world.queue.count_ahead_of(hold.tier), free)


def _would_run_too_long(world: AgentWorld, hold: Hold) -> bool:
    """Return whether the answer would miss its deadline even if started now.

    The expected wait in the queue is left out, because it is only a rough estimate and
    holds ahead may be withdrawn. The engine's own time is based on measurements.
    """
    cached = world.prefix.cached_tokens(hold.blocks)
    total = _estimate_times(world, hold, cached)[1]
    return world.now + world.model.pessimistic_s(total) > hold.deadline


def send_offers(world: AgentWorld) -> None:
    """System: send an estimate for each new hold that was not granted immediately."""
    for hold in world.awaiting_offer:
        if hold.is_queued:
            _send_offer(world, hold)
    world.awaiting_offer.clear()


MAX_RETRY_S = 30.0
MIN_QUEUE_FACTOR = 2
"""Holds of a tier that are queued whatever their expected wait, as a multiple of slots.

They use the slots that become free if the estimated wait was too long.
"""

COUNTED_WAIT_FRACTION = 0.5
"""Fraction of an estimated wait that counts when a hold is rejected early."""


def _would_wait_too_long(world: AgentWorld, hold: Hold) -> bool:
    """Return whether a new hold would wait so long that it misses its deadline.

    Such a request is rejected immediately, with a time to retry, and not only at its
    deadline. While a lower tier is queued here, only holds of the lowest tier are
    rejected, because the slots that they give up go to the higher ones.
    """
    if world.queue.has_lower_tier(hold.tier):
        return False
    count = world.queue.count_in_tier(hold.tier)
    if count < MIN_QUEUE_FACTOR * world.model.slots:
        return False
    wait = world.drain_rate.wait_s(hold.tier, count, world.now)
    total = _estimate_times(world, hold, world.prefix.cached_tokens(hold.blocks))[1]
    return world.now + COUNTED_WAIT_FRACTION * wait + total > hold.deadline


def _send_offer(world: AgentWorld, hold: Hold) -> None:
    cached = world.prefix.cached_tokens(hold.blocks)
    prefill, total = _estimate_times(world, hold, cached)
    message = Offer(
        rid=hold.rid,
        cached_tokens=cached,
        wait_ms=int(_estimate_wait_s(world, hold) * MS_PER_S),
        prefill_ms=int(prefill * MS_PER_S),
        total_ms=int(total * MS_PER_S),
    )
    world.send(hold.entry, message)


def _enforce_queue_limit(world: AgentWorld) -> None:
    while len(world.queue) > world.policy.queue_limit:
        hold = world.queue.newest_of_lowest_tier()
        if hold is None:
            return
        drop_hold(world, hold)
        world.counters.displaced += 1
        _displace(world, hold.rid, hold.entry, Reason.SHED)


def _is_below_floor(world: AgentWorld, tier: int) -> bool:
    if world.floor_tier is None or world.now >= world.floor_until:
        return False
    return tier > world.floor_tier


def _displace(world: AgentWorld, rid: str, entry: str, reason: Reason) -> None:
    waits = (
        world.drain_rate.wait_s(tier, world.queue.count_in_tier(tier), world.now)
        for tier in world.queue.tiers()
    )
    retry_s = min(MAX_RETRY_S, max(waits, default=0.0))
    world.send(entry, Displaced(rid=rid, reason=reason, retry_ms=int(retry_s * MS_PER_S)))
