"""The datagrams by which entries report their state to each other."""

from __future__ import annotations

import math

import msgspec

from .crash_history import CrashReport
from .relayed_notice import RelayedNotice


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
        endpoints_revision: The platform's revision up to which the endpoint list was read.
        in_flight: Requests in flight from the sender, by endpoint.
        used: Tokens that each organisation used at the sender, in time buckets back from
            now.
        fleet_used: Tokens used by each organisation over all entries in the window, as the
            sender knows it; ``None`` unless an entry that needs it has started recently.
        known_peers: Addresses of some other entries.
        capacity: Fraction of a processor core that the sender may use.
        hall: The sender's data hall.
        configuration_age_s: Time since the platform last answered a call of the sender for
            the configuration, in seconds.
        endpoints_age_s: The same for the endpoint list.
        orders_revision: The platform's revision of the last operator command, either a
            configuration or the evacuation of a data hall; 0 for none.
        crash_reports: Some requests during which engines crashed.
        notices: Notices of some endpoints, relayed by the sender.
        usage_bucket: Number of the sender's current time bucket of usage; 0 if it does not
            report it.
        usage_span: Number of buckets that `used` covers, back from now; 0 for all.
        accepts_partial: Whether the sender accepts digests that do not cover all buckets.
        tracks_streams: Whether the sender answers questions about streams.
        software_versions: Services of which endpoints of several software versions serve,
            or served lately: the time since each version was last listed, in seconds.
            Those of all other services are added while `versions_known_s` is told.
        endpoints_answered_s: For how long up to its last response for the endpoint list the
            platform answered each call of the sender, in whole seconds; 0 if that is not
            known, `feeds.FAILING` while calls fail.
        versions_known_s: For how long the sender has known all software versions that
            served, in whole seconds, while an entry has started recently; else 0.
        endpoints_complete_s: Time since the moment up to which the sender knows all changes
            of the endpoint list from the platform itself, in seconds.
        configuration_known_s: The same for the configuration.
    """

    name: str
    address: Address
    incarnation: int
    number: int
    age_s: float
    leaving: bool
    revision: int
    endpoints_revision: int
    in_flight: dict[str, int]
    used: dict[str, list[int]]
    fleet_used: dict[str, int] | None
    known_peers: list[Address]
    capacity: float = 1.0
    hall: str = ""
    configuration_age_s: float = math.inf
    endpoints_age_s: float = math.inf
    orders_revision: int = 0
    crash_reports: list[CrashReport] = []
    notices: list[RelayedNotice] = []
    usage_bucket: int = 0
    usage_span: int = 0
    accepts_partial: bool = False
    tracks_streams: bool = False
    software_versions: dict[str, dict[str, float]] = {}
    endpoints_answered_s: int = 0
    versions_known_s: int = 0
    endpoints_complete_s: float = math.inf
    configuration_known_s: float = math.inf


class CrashUpdate(msgspec.Struct, array_like=True, tag=4):
    """Requests during which engines have just crashed, or that were answered since."""

    crash_reports: list[CrashReport]
