"""An entry's copy of the platform's data, as peers fetch it during platform outages."""

from __future__ import annotations

import msgspec

from .. import _decoding
from ..errors import WireError
from .endpoints import Published

VIEW_PATH = b"/v1/view"
"""Path on which entries serve their view to peers, on the TCP port with the same number as
the UDP port for digests."""


class View(msgspec.Struct, array_like=True):
    """The data that an entry has read from the platform.

    Attributes:
        revision: Number of the current configuration; 0 for none.
        text: The configuration as the platform published it.
        endpoints_revision: The platform's revision up to which the endpoint list was read.
        endpoints: All endpoints that the platform lists, and those that lapsed recently.
        lapsed: Ids of endpoints whose registration expired during a platform outage; they
            are kept for a grace period in which they should register again.
        evacuated: Evacuated data halls: their endpoints are sent no requests.
        orders_revision: The platform's revision up to which operator commands, and so
            `evacuated`, were read; 0 if none were.
        lapsed_ages_s: For each endpoint in `lapsed`, the time since the platform responded
            without its record, in seconds, from which its grace period counts.
    """

    revision: int
    text: bytes
    endpoints_revision: int
    endpoints: list[Published]
    lapsed: list[str] = []
    evacuated: list[str] = []
    orders_revision: int = 0
    lapsed_ages_s: list[float] = []

    def lapsed_at(self, now: float) -> dict[str, float]:
        """Return the monotonic time from which each grace period counts, in seconds.

        A peer of an earlier version does not tell it: then it counts from now.

        Args:
            now: Monotonic time at which the view was received, in seconds.
        """
        # The lists need not be of equal length.
        ages_s = dict(zip(self.lapsed, self.lapsed_ages_s, strict=False))
        return {
            endpoint: now - max(0.0, ages_s.get(endpoint, 0.0)) for endpoint in self.lapsed
        }


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(View)


def encode(view: View) -> bytes:
    """Encode a view."""
    return _ENCODER.encode(view)


def decode(data: bytes) -> View:
    """Decode a view.

    Raises:
        WireError: The bytes are not a valid view.
    """
    return _decoding.decode(
        _DECODER, data, lambda problem: WireError(f"invalid view: {problem}")
    )
