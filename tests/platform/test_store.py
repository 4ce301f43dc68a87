"""Decoding of the store's responses, whatever bytes they hold."""

from __future__ import annotations

import json
from urllib.parse import parse_qs, urlsplit

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dockreach.direct.feeds import CallLimits
from dockreach.errors import PlatformError
from dockreach_platform.store import HistoryCompactedError, ItemBatch, StoreClient

from ..peer_bytes import JSON_EDGE_VALUES, damaged, with_edge_value

LIMITS = CallLimits(0.0, 1.0)
ITEM = {"tls_key": "servers/i-1", "revision": 7, "value": "e30="}
DELETED = {"tls_key": "servers/i-2", "revision": 8, "deleted": True}
PAGE = {"items": [ITEM], "store_revision": 9, "has_more": False}
CHANGES = {"events": [ITEM, DELETED], "store_revision": 9}


class AnsweredStore(StoreClient):
    """A client whose calls are all answered with the same response, at most three times."""

    def __init__(self, status: int, body: bytes) -> None:
        super().__init__("10.0.0.1:80")
        self._response = (status, body)
        self._calls_left = 3

    def _exchange(self, target: str, limits: CallLimits) -> tuple[int, bytes]:
        del target, limits
        if not self._calls_left:
            raise PlatformError("the store is gone")
        self._calls_left -= 1
        return self._response


def read_or_fail(body: bytes, status: int = 200) -> None:
    """List and watch a store that responds with a body."""
    for call in ("list", "watch"):
        store = AnsweredStore(status, body)
        try:
            batch = (
                store.list("servers/", LIMITS)
                if call == "list"
                else store.watch("servers/", 6, LIMITS)
            )
        except PlatformError as exc:
            assert str(exc)
            continue
        assert isinstance(batch, ItemBatch)
        assert all(isinstance(item.key, str) for item in batch.items)
        assert all(isinstance(item.value, bytes | None) for item in batch.items)


@pytest.mark.parametrize("value", [-1, 2**63, 2**64, 10**30, 10**400, 1.5, 1e300, "7"])
@pytest.mark.parametrize("call", ["list", "watch"])
@pytest.mark.parametrize("whose", ["store", "item"])
def test_a_revision_that_no_message_can_hold_is_an_error_of_the_platform(
    call: str, whose: str, value: object
) -> None:
    """Guards against a revision with which an entry sends no digests any more."""
    item = {**ITEM, "revision": value} if whose == "item" else ITEM
    revision = value if whose == "store" else 9
    body = json.dumps({"items": [item], "events": [item], "store_revision": revision})
    store = AnsweredStore(200, body.encode())
    with pytest.raises(PlatformError, match="not valid"):
        if call == "list":
            store.list("servers/", LIMITS)
        else:
            store.watch("servers/", 6, LIMITS)


@settings(deadline=None)
@given(st.binary(max_size=200), st.sampled_from([200, 200, 404, 500]))
def test_any_response_is_read_or_an_error_of_the_platform(body: bytes, status: int) -> None:
    read_or_fail(body, status)


@settings(deadline=None)
@given(damaged([json.dumps(PAGE).encode(), json.dumps(CHANGES).encode()]))
def test_a_damaged_response_is_read_or_an_error_of_the_platform(body: bytes) -> None:
    read_or_fail(body)


@settings(deadline=None)
@given(with_edge_value([PAGE, CHANGES], JSON_EDGE_VALUES))
def test_a_response_with_an_edge_value_is_read_or_an_error_of_the_platform(
    tree: object,
) -> None:
    read_or_fail(json.dumps(tree).encode())


@given(st.binary(max_size=200))
def test_a_compacted_history_needs_no_valid_body(body: bytes) -> None:
    with pytest.raises(HistoryCompactedError):
        AnsweredStore(410, body).watch("servers/", 6, LIMITS)


@given(st.text(max_size=20))
def test_a_value_that_is_not_base64_is_passed_on_as_bytes(value: str) -> None:
    body = json.dumps({**PAGE, "items": [{**ITEM, "value": value}]}).encode()
    (item,) = AnsweredStore(200, body).list("servers/", LIMITS).items
    assert isinstance(item.value, bytes)


class PagedStore(StoreClient):
    """A client of a store that returns its changes in parts.

    As the protocol says, the next call goes on from `store_revision`.
    """

    def __init__(self, part: int, changes: int) -> None:
        super().__init__("10.0.0.1:80")
        self._part = part
        self._changes = [{**ITEM, "revision": 1 + number} for number in range(changes)]

    def _exchange(self, target: str, limits: CallLimits) -> tuple[int, bytes]:
        del limits
        query = parse_qs(urlsplit(target).query)
        after = int(query["since_revision"][0])
        events = [item for item in self._changes if int(str(item["revision"])) > after]
        part = events[: self._part]
        revision = part[-1]["revision"] if part else len(self._changes)
        body = {"events": part, "store_revision": revision}
        return 200, json.dumps(body).encode()


@pytest.mark.parametrize("part", [2, 5, 100])
def test_a_history_in_parts_is_read_to_its_end(part: int) -> None:
    history = PagedStore(part, 9).history("servers/", LIMITS)
    assert [item.revision for item in history] == list(range(1, 10))
