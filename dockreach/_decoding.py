"""Decoding of bytes that somebody else sent."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar

import msgspec

_Found = TypeVar("_Found")
_Made_co = TypeVar("_Made_co", covariant=True)


class _Decoder(Protocol[_Made_co]):
    """One of msgspec's decoders, of any format."""

    def decode(self, buf: bytes, /) -> _Made_co:
        """Return what the bytes hold."""


def decode(
    decoder: _Decoder[_Found], data: bytes, refuse: Callable[[str], Exception]
) -> _Found:
    """Return what the bytes hold.

    Args:
        decoder: Of the format and the type.
        data: The bytes.
        refuse: Makes the error to raise from what is wrong with them.
    """
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise refuse(str(exc)) from exc
