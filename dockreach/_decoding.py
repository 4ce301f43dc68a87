"""Decoding of bytes and numbers from other processes, with errors of this package."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Protocol, TypeVar

import msgspec

TOO_DEEP = "too deeply nested"
"""Description of bytes with more levels than a decoder can follow."""

_WHOLE_NUMBER = re.compile("[0-9]{1,18}")
"""A number that fits into 63 bits."""

_Decoded = TypeVar("_Decoded")
_Decoded_co = TypeVar("_Decoded_co", covariant=True)


class _Decoder(Protocol[_Decoded_co]):
    """A msgspec decoder of any format."""

    def decode(self, buf: bytes, /) -> _Decoded_co:
        """Return the decoded value."""


def decode(
    decoder: _Decoder[_Decoded], data: bytes, make_error: Callable[[str], Exception]
) -> _Decoded:
    """Return the decoded value.

    Args:
        decoder: Decoder for the expected format and type.
        data: Bytes to decode.
        make_error: Creates the exception to raise from a description of the problem.

    Raises:
        Exception: The bytes are not valid; the exception is created by ``make_error``.
    """
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise make_error(str(exc)) from exc
    except RecursionError as exc:
        # Unknown fields are skipped, but with a recursion for each level.
        raise make_error(TOO_DEEP) from exc


def whole_number(text: str) -> int | None:
    """Return the number in a text of at most 18 ASCII digits; ``None`` for other texts.

    `int` and `str.isdigit` accept digits of other scripts and superscripts.
    """
    return int(text) if _WHOLE_NUMBER.fullmatch(text) else None
