"""Endpoints whose records disappeared while the platform did not respond.

Such a record may only have expired, since the endpoint could not renew it. The endpoint is
kept for a grace period, in which one that still runs is listed again.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .peers import MAX_DATAGRAM_DELAY_S, PeerRow

LAPSE_GRACE_S = 2.2
"""How long endpoints whose registration expired during a platform outage are kept, in
seconds. According to the platform, endpoints that still run are listed again about two
seconds after it has recovered."""


@dataclass(frozen=True, slots=True)
class AnsweredPeriod:
    """A time in which the platform answered each call of a peer, in monotonic seconds.

    Attributes:
        hall: The data hall of the peer.
        until: Until when no outage can have let a record expire: some time after the last
            response, as records outlive a short outage.
    """

    hall: str
    since: float
    until: float


def answered_periods(
    peers: Iterable[PeerRow], record_margin_s: float
) -> list[AnsweredPeriod]:
    """Return the last such time of each peer that reports one.

    Args:
        peers: The peers.
        record_margin_s: Shortest outage that lets a record expire, in seconds.
    """
    periods = []
    for row in peers:
        digest = row.digest
        if digest.endpoints_answered_s > 0:
            # The digest may have waited to be read: the period is what is certain.
            latest = row.sent_before - MAX_DATAGRAM_DELAY_S - digest.endpoints_age_s
            last = row.sent_after - digest.endpoints_age_s
            since = latest - digest.endpoints_answered_s
            periods.append(AnsweredPeriod(digest.hall, since, last + record_margin_s))
    return periods


def grace_end(lapsed_at: float, hall: str, periods: Iterable[AnsweredPeriod]) -> float:
    """Return when the grace period of a lapsed endpoint ends, in monotonic seconds.

    Calls of one entry may fail while the platform answers others. Where it answered all
    calls of a peer beside the endpoint, from some moment until the record was found
    missing, any outage had ended by that moment, and the grace period counts from there. So
    it is over at once where there was no outage: the endpoint has left. Peers in other data
    halls prove nothing, as the endpoint's whole hall may have been cut off.

    Args:
        lapsed_at: Monotonic time at which the platform, after failed calls, responded
            without the endpoint's record, in seconds.
        hall: The endpoint's data hall.
        periods: Times in which the platform answered peers.
    """
    recovered_at = [
        period.since
        for period in periods
        if period.hall == hall and period.until >= lapsed_at
    ]
    return min([lapsed_at, *recovered_at]) + LAPSE_GRACE_S
