"""What all decoders of bytes from other processes have in common."""

from __future__ import annotations

import json
import tempfile
from collections.abc import Callable

import msgspec
import pytest

from dockreach import messages
from dockreach._decoding import whole_number
from dockreach.direct import datagrams, view
from dockreach.direct.feeds import CallLimits
from dockreach.errors import (
    DockreachError,
    PlatformError,
    RevisionError,
    SettingsError,
    WireError,
)
from dockreach.messages import Heartbeat
from dockreach.platform import PlatformClient
from dockreach_platform import records, settings
from dockreach_platform.store import StoreClient

from .direct.core_builders import address, digest
from .platform.store_standin import endpoint_record

CONFIG = b'{"version": 7, "routes": []}'
PAGE = b'{"items": [], "store_revision": 7}'
CHANGES = b'{"events": [], "store_revision": 7}'
VM_LIST = b'{"version": 7, "vms": []}'
SETTINGS = json.dumps(
    {
        "node_name": "front-a-1",
        "ip": "10.1.0.25",
        "zone": "a",
        "listen_addrs": {"front": "10.1.0.25:8221", "ready": "10.1.0.25:8224"},
        "port_range": [7600, 7615],
        "platform": {"address": "10.200.1.7:8225"},
    }
).encode()
VIEW = view.View(3, CONFIG, 8, [])


class AnsweredStore(StoreClient):
    """A client whose calls are all answered with the same body."""

    def __init__(self, body: bytes) -> None:
        super().__init__("10.0.0.1:80")
        self._body = body

    def _exchange(self, target: str, limits: CallLimits) -> tuple[int, bytes]:
        del target, limits
        return 200, self._body


def list_items(body: bytes) -> object:
    return AnsweredStore(body).list("servers/", CallLimits(0.0, 1.0))


def watch_items(body: bytes) -> object:
    return AnsweredStore(body).watch("servers/", 6, CallLimits(0.0, 1.0))


class AnsweredPlatform(PlatformClient):
    """A client whose calls are all answered with the same body."""

    def __init__(self, body: bytes) -> None:
        super().__init__("http://10.0.0.1:80")
        self._body = body

    def _get(self, path: str, read_timeout_s: float) -> bytes:
        del path, read_timeout_s
        return self._body


def list_vms(body: bytes) -> object:
    return AnsweredPlatform(body).vm_list()


def read_record(text: bytes) -> object:
    return records.read_endpoint("i-1", text)


def load_settings(text: bytes) -> object:
    with tempfile.NamedTemporaryFile() as file:
        file.write(text)
        file.flush()
        return settings.load_settings(file.name)


def nested_json(text: bytes, depth: int) -> bytes:
    """Add a field that no decoder knows, and that holds lists in each other."""
    return text[:-1] + b', "unknown": ' + b"[" * depth + b"]" * depth + b"}"


def nested_message(data: bytes, depth: int) -> bytes:
    """Add a field behind the known ones, as a later version of an entry may."""
    fields = msgspec.msgpack.decode(data)
    head = b"\xdc" + (len(fields) + 1).to_bytes(2, "big")
    known = b"".join(map(msgspec.msgpack.encode, fields))
    return head + known + b"\x91" * depth + b"\xc0"


def nested_batch(data: bytes, depth: int) -> bytes:
    """Add a field that is not known to the first message of a batch."""
    (message,) = msgspec.msgpack.decode(data)
    known = msgspec.msgpack.encode(message)
    head = bytes([0x91, 0x80 + len(message) + 1])
    name = msgspec.msgpack.encode("unknown")
    return head + known[1:] + name + b"\x91" * depth + b"\xc0"


@pytest.mark.parametrize("depth", [10, 500, 1100, 20_000])
@pytest.mark.parametrize(
    ("decode", "nested", "valid", "error"),
    [
        (datagrams.decode, nested_message, datagrams.encode(digest(address(1))), WireError),
        (view.decode, nested_message, view.encode(VIEW), WireError),
        (list_items, nested_json, PAGE, PlatformError),
        (records.read_revision, nested_json, CONFIG, RevisionError),
        (read_record, nested_json, endpoint_record(), RevisionError),
        (load_settings, nested_json, SETTINGS, SettingsError),
        (watch_items, nested_json, CHANGES, PlatformError),
        (
            messages.decode,
            nested_batch,
            messages.encode([Heartbeat(revision=7)]),
            WireError,
        ),
        (list_vms, nested_json, VM_LIST, PlatformError),
    ],
    ids=[
        "datagram",
        "view",
        "page",
        "configuration",
        "record",
        "settings",
        "changes",
        "messages",
        "vm-list",
    ],
)
def test_deeply_nested_bytes_raise_no_other_error(
    decode: Callable[[bytes], object],
    nested: Callable[[bytes, int], bytes],
    valid: bytes,
    error: type[DockreachError],
    depth: int,
) -> None:
    """Guards against a record that keeps the changes of all others from being applied."""
    assert decode(valid)
    try:
        assert decode(nested(valid, depth))
    except error as exc:
        assert str(exc)


@pytest.mark.parametrize(
    ("text", "number"),
    [
        ("0", 0),
        ("007", 7),
        ("9" * 18, 10**18 - 1),
        ("9" * 19, None),
        ("9" * 5000, None),
        ("", None),
        ("-1", None),
        ("+1", None),
        ("1_0", None),
        (" 1", None),
        ("1\n", None),
        ("1.0", None),
        ("\u00b2", None),
        ("\u0663", None),
        ("\uff13", None),
    ],
)
def test_only_ascii_digits_are_a_whole_number(text: str, number: int | None) -> None:
    assert whole_number(text) == number
