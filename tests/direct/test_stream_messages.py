"""Messages about streams, between entries of this version and an earlier one."""

from __future__ import annotations

import msgspec
import pytest

from dockreach.direct.datagrams import decode, encode
from dockreach.direct.digest import Digest
from dockreach.direct.slot_messages import WaitingJob
from dockreach.direct.stream_messages import (
    STREAM_KEY_BYTES,
    BegunStream,
    StreamQuestion,
    StreamReport,
    stream_key,
)
from dockreach.errors import WireError

from .core_builders import address, digest


def test_messages_about_streams_are_decoded_as_they_were_sent() -> None:
    report = StreamReport(address(1), [BegunStream(b"k", "v1.2")], [b"u"])
    question = StreamQuestion(address(1), [b"k"])
    assert decode(encode(report)) == report
    assert decode(encode(question)) == question


def test_a_report_with_an_invalid_stream_is_refused() -> None:
    data = msgspec.msgpack.encode([6, ["10.0.0.1", 1], [["k"]], []])
    with pytest.raises(WireError):
        decode(data)


def test_different_attempts_have_different_keys_of_one_length() -> None:
    keys = {stream_key(f"r-{number}") for number in range(1000)}
    assert len(keys) == 1000
    assert {len(key) for key in keys} == {STREAM_KEY_BYTES}


def test_a_digest_of_an_earlier_version_tracks_no_streams() -> None:
    fields = msgspec.msgpack.decode(encode(digest(address(1))))
    found = decode(msgspec.msgpack.encode(fields[:-2]))
    assert isinstance(found, Digest)
    assert not found.tracks_streams
    assert found.software_versions == {}


def test_a_slot_request_of_an_earlier_version_fits_any_endpoint() -> None:
    fields = ["r", [0], 1, 1.0, [], 0.0, 0.0, 1.0, 1.0, False, []]
    data = msgspec.msgpack.encode([1, *fields])
    found = msgspec.msgpack.decode(data, type=WaitingJob)
    assert found.software_version is None
