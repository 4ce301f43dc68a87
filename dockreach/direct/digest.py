"""The datagrams by which entries report their state to each other."""

from __future__ import annotations

import math

import msgspec

from .crash_record import Suspect
from .told_notice import ToldNotice


class Address(msgspec.Struct, frozen=True, array_like=True):
    """Where an entry listens for digests (UDP) and for requests of its peers (TCP)."""

    ip: str
    port: int


class Digest(msgspec.Struct, array_like=True, tag=1):
    """The state that one entry reports to the others; each replaces the previous one.

    Attributes:
        incarnation: A random number drawn at each start of the sender.
        number: Increases with each digest of an incarnation.
        age_s: Time since the start of the sender, in seconds.
        leaving: Whether the sender is shutting down.
        revision: Number of the current configuration; 0 for none.
        fleet_revision: The platform's revision up to which the endpoint list was read.
        under_way: Requests in flight from the sender, by endpoint.
        spent: Tokens used by each organisation, in time buckets back from now.
        fleet_spent: Tokens used by each organisation over all entries in the window, as the
            sender knows it; ``None`` unless an entry that needs it has started recently.
        known: Addresses of some other entries.
        capacity: Fraction of a processor core that the sender may use.
        hall: The sender's data hall.
        configuration_age_s: Time since the platform last answered a call of the sender for
            the configuration, in seconds.
        endpoints_age_s: The same for the endpoint list.
        orders_revision: The platform's revision of the last operator command, either a
            configuration or the evacuation of a data hall; 0 for none.
        suspects: Some requests during which engines crashed.
        notices: Notices of some endpoints, relayed by the sender.
    """

    name: str
    address: Address
    incarnation: int
    number: int
    age_s: float
    leaving: bool
    revision: int
    fleet_revision: int
    under_way: dict[str, int]
    spent: dict[str, list[int]]
    fleet_spent: dict[str, int] | None
    known: list[Address]
    capacity: float = 1.0
    hall: str = ""
    configuration_age_s: float = math.inf
    endpoints_age_s: float = math.inf
    orders_revision: int = 0
    suspects: list[Suspect] = []
    notices: list[ToldNotice] = []


class CrashNews(msgspec.Struct, array_like=True, tag=4):
    """Requests during which engines have just crashed, or that were answered since."""

    suspects: list[Suspect]
