"""Entry systems that put the chunks of a response in order and acknowledge them."""

from __future__ import annotations

from . import shedding
from .entry_tables import EntryWorld, Phase, RequestRow, Taken, receive
from .messages import Cancel, Chunk, ChunkAck, Ended
from .verdict import Reason, Refusal


@receive.register
def _(message: Chunk, world: EntryWorld, peer: str) -> None:
    req = world.requests.get(message.rid)
    if req is None:
        world.send(peer, Cancel(rid=message.rid))
        return
    if req.agent != peer or req.phase not in (Phase.COMMITTED, Phase.UNCLEAR):
        return
    req.phase = Phase.COMMITTED
    if message.number < req.next_chunk:
        return
    if len(req.ahead) < world.policy.ahead_limit:
        req.ahead[message.number] = message
    while (chunk := req.ahead.pop(req.next_chunk, None)) is not None:
        _take(world, req, chunk)
    _complete(world, req)


def _take(world: EntryWorld, req: RequestRow, chunk: Chunk) -> None:
    if req.first_chunk is None:
        req.first_chunk = world.now
        world.note(req, "first chunk", req.agent)
    req.ready.append(chunk)
    req.next_chunk += 1
    world.woken[req.caller] = req


@receive.register
def _(message: Ended, world: EntryWorld, peer: str) -> None:
    req = world.requests.get(message.rid)
    if req is None or req.agent != peer:
        return
    if req.phase not in (Phase.COMMITTED, Phase.UNCLEAR):
        return
    req.end = message
    _complete(world, req)


def _complete(world: EntryWorld, req: RequestRow) -> None:
    """End a request if its run failed, or once all chunks of its response arrived."""
    if req.end is None:
        return
    if not req.end.whole:
        reason = req.end.reason or Reason.ENGINE_LOST
        verdict = shedding.committed_verdict(req)
        shedding.finish(world, req, Refusal(verdict, reason, "the response is incomplete"))
        return
    if req.next_chunk < req.end.chunks:
        return
    world.to_ack.discard(req.rid)
    world.send(req.agent, ChunkAck(rid=req.rid, upto=req.next_chunk))
    shedding.finish(world, req, None)


@receive.register
def _(message: Taken, world: EntryWorld, peer: str) -> None:
    del peer
    req = world.requests.get(message.rid)
    if req is None or req.caller != message.caller:
        return
    req.taken = max(req.taken, message.upto)
    req.taken_bytes += message.size
    world.to_ack.add(req.rid)


ACK_CHUNKS = 16
"""Chunks delivered to the caller after which they are acknowledged."""

ACK_BYTES = 64 << 10
"""Bytes delivered to the caller after which they are acknowledged."""


def acknowledge(world: EntryWorld) -> None:
    """System: acknowledge chunks that were delivered to callers, several at a time."""
    for rid in world.to_ack:
        req = world.requests.get(rid)
        if req is None or req.phase is not Phase.COMMITTED:
            continue
        if req.taken < req.acked + ACK_CHUNKS and req.taken_bytes < ACK_BYTES:
            continue
        req.acked = req.taken
        req.taken_bytes = 0
        world.send(req.agent, ChunkAck(rid=rid, upto=req.acked))
    world.to_ack.clear()
