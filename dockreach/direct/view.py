"""An entry's whole view, as another entry asks for it when the platform is away."""

from __future__ import annotations

import msgspec

from .. import _decoding
from ..errors import WireError
from .endpoints import Published

PATH = b"/v1/view"
"""Where entries answer one another, on the TCP port beside that of the digests."""


class View(msgspec.Struct, array_like=True):
    """What an entry read from the platform.

    Attributes:
        revision: Number of the configuration in force; 0 for none.
        text: The configuration as the platform published it.
        fleet_revision: The platform's revision up to which endpoints were read.
        endpoints: All that the platform lists, and those that lapsed lately.
        lapsed: Ids of endpoints that vanished while the platform was away, and are kept
            until they should be back.
        emptied: Data halls whose endpoints are to get nothing.
        orders_revision: The platform's revision up to which the operator's orders, and so
            `emptied`, were read; 0 if they were not.
    """

    revision: int
    text: bytes
    fleet_revision: int
    endpoints: list[Published]
    lapsed: list[str] = []
    emptied: list[str] = []
    orders_revision: int = 0


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(View)


def encode(view: View) -> bytes:
    """Return the bytes of a view."""
    return _ENCODER.encode(view)


def decode(data: bytes) -> View:
    """Return the view that the bytes hold.

    Raises:
        WireError: They hold no valid view.
    """
    return _decoding.decode(
        _DECODER, data, lambda problem: WireError(f"not a view: {problem}")
    )
