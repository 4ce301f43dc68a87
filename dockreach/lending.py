"""Entry systems that lend unused parts of organisations' limits to other entries."""

from __future__ import annotations

from .entry_tables import EntryWorld, receive
from .limits import LOAN_LEASE_S
from .messages import ShareAsk, ShareLoan


@receive.register
def _(message: ShareAsk, world: EntryWorld, peer: str) -> None:
    amount = world.limits.lend(message.organisation, message.amount, world.now)
    if amount <= 0:
        return
    loan = ShareLoan(
        organisation=message.organisation,
        number=message.number,
        amount=amount,
        lease_ms=int(LOAN_LEASE_S * 1000),
    )
    world.send(peer, loan)


@receive.register
def _(message: ShareLoan, world: EntryWorld, peer: str) -> None:
    del peer
    world.limits.borrow(message)


def ask_for_loans(world: EntryWorld) -> None:
    """System: ask a random entry for a loan for each organisation that lacks capacity."""
    if not world.entries:
        return
    for shortage in world.limits.shortages(world.now):
        peer = world.rng.choice(sorted(world.entries))
        ask = ShareAsk(
            organisation=shortage.organisation,
            number=shortage.number,
            amount=shortage.amount,
        )
        world.send(peer, ask)
