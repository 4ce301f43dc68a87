"""Endpoint notices as entries relay them to each other."""

from __future__ import annotations

import msgspec


class RelayedNotice(msgspec.Struct, array_like=True):
    """What one entry relays of an endpoint's notices.

    Attributes:
        born: Start time of the endpoint incarnation that sent the notice, in milliseconds;
            0 if unknown.
        rate: Requests a second that it accepts from all entries; ``None`` for no limit.
        request_age_s: How long ago the request was sent whose response held the notice, in
            seconds.
        report_age_s: How long ago that response was received, in seconds.
        is_leaving: Whether it has reported that it is leaving.
    """

    endpoint: str
    born: int
    rate: float | None
    request_age_s: float
    report_age_s: float
    is_leaving: bool


class NoticeUpdate(msgspec.Struct, array_like=True, tag=5):
    """Notices that endpoints have just sent.

    Attributes:
        sender: Name of the entry that relays them.
    """

    sender: str
    notices: list[RelayedNotice]
