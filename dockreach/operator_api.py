"""HTTP pages of an entry for operators: queries over all daemons, and cancellation."""

from __future__ import annotations

import hmac
import itertools
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from . import _green
from ._decoding import decode
from .declarations import key_hash
from .entry_tables import CallerGone
from .errors import QueryError, WireError
from .events import Event, log
from .messages import QueryAsk, QueryRows
from .node import local_rows
from .pages import send_response
from .query import Row, Select, Why, filter_and_sort, parse
from .request_parsing import bearer_key
from .verdict import Reason

if TYPE_CHECKING:
    from .entry_node import EntryNode

MAX_BODY_BYTES = 1 << 16
QUERY_TIMEOUT_S = 1.5
"""How long a query waits for the rows of other daemons."""

Environ = dict[str, Any]
StartResponse = Callable[..., Any]


class QueryRequest(msgspec.Struct):
    """Request body of a query.

    Attributes:
        query: Text of the query.
    """

    query: str


class CancelRequest(msgspec.Struct):
    """Request body of a cancellation.

    Attributes:
        request: Id of the request to cancel.
    """

    request: str


class QueryAnswer(msgspec.Struct):
    """Response body of a query.

    Attributes:
        rows: Rows of all daemons that replied.
        silent: Names of daemons that are not connected or did not reply in time.
    """

    rows: list[dict[str, str | int | float | bool | None]]
    silent: list[str]


_Body = TypeVar("_Body", QueryRequest, CancelRequest)


class _PendingQuery:
    """A query that waits for rows of peers.

    Attributes:
        waiting: Peers that have not replied yet.
        rows: Rows received so far.
        signal: Set whenever a peer has replied.
    """

    def __init__(self, waiting: set[str]) -> None:
        self.waiting = waiting
        self.rows: list[Row] = []
        self.signal = _green.Signal()


class OperatorApi:
    """Serves the operators' pages of an entry.

    Args:
        node: The entry.
        key_sha256: SHA-256 of the operators' key, in hexadecimal; if empty, all access is
            denied.
    """

    def __init__(self, node: EntryNode, key_sha256: str) -> None:
        self._node = node
        self._key_sha256 = key_sha256
        self._query_numbers = itertools.count(1)
        self._pending: dict[int, _PendingQuery] = {}
        node.pages.add("/operators/query", self._query_page)
        node.pages.add("/operators/cancel", self._cancel_page)

    def handle_rows(self, message: QueryRows, peer: str) -> None:
        """Add the rows of one peer to the query that they belong to."""
        pending = self._pending.get(message.number)
        if pending is None:
            return
        pending.rows += message.rows
        pending.waiting.discard(peer)
        pending.signal.set()

    def run_query(self, text: str) -> QueryAnswer:
        """Run a query on this daemon and on all daemons connected to it.

        Raises:
            QueryError: The text is not a valid query.
        """
        query = parse(text)
        node = self._node
        number = next(self._query_numbers)
        pending = _PendingQuery(set(node.links.peers))
        pending.rows += local_rows(node, query)
        self._pending[number] = pending
        for peer in pending.waiting:
            node.links.send(peer, QueryAsk(number=number, text=text))
        node.links.flush()
        remaining = QUERY_TIMEOUT_S
        while pending.waiting and remaining > 0:
            pending.signal.wait(0.05)
            remaining -= 0.05
        del self._pending[number]
        unlinked = {row.vm for row in node.vms.rows} - {node.name, *node.links.peers}
        silent = sorted(pending.waiting | unlinked)
        return QueryAnswer(_arrange_rows(query, pending.rows), silent)

    def _query_page(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterator[bytes]:
        if not self._is_authorized(environ):
            return _send_error(
                start_response, "401 Unauthorized", "the operators' key is needed"
            )
        try:
            request = _decode_body(environ, QueryRequest)
            result = self.run_query(request.query)
        except (WireError, QueryError) as exc:
            return _send_error(start_response, "400 Bad Request", str(exc))
        log(Event.OPERATOR_QUERY, query=request.query)
        return send_response(
            start_response, "200 OK", msgspec.json.encode(result), "application/json"
        )

    def _cancel_page(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterator[bytes]:
        if not self._is_authorized(environ):
            return _send_error(
                start_response, "401 Unauthorized", "the operators' key is needed"
            )
        try:
            request = _decode_body(environ, CancelRequest)
        except WireError as exc:
            return _send_error(start_response, "400 Bad Request", str(exc))
        row = self._node.world.requests.get(request.request)
        if row is None:
            return _send_error(
                start_response, "404 Not Found", "this entry has no such request"
            )
        gone = CallerGone(row.rid, row.caller, Reason.OPERATOR)
        self._node.ticker.put("", gone)
        log(Event.OPERATOR_CANCEL, request=row.rid)
        return send_response(
            start_response, "200 OK", b'{"cancelled":true}', "application/json"
        )

    def _is_authorized(self, environ: Environ) -> bool:
        key = bearer_key(environ.get("HTTP_AUTHORIZATION", ""))
        if key is None or not self._key_sha256:
            return False
        return hmac.compare_digest(key_hash(key), self._key_sha256)


def _decode_body(environ: Environ, kind: type[_Body]) -> _Body:
    """Return the decoded and validated body of an operator's request.

    Raises:
        WireError: It is not valid.
    """
    body = environ["wsgi.input"].read(MAX_BODY_BYTES)
    return decode(msgspec.json.Decoder(kind), body, WireError)


def _arrange_rows(query: Select | Why, rows: list[Row]) -> list[Row]:
    return filter_and_sort(query, rows) if isinstance(query, Select) else rows


def _send_error(
    start_response: StartResponse, status: str, problem: str
) -> Iterator[bytes]:
    body = msgspec.json.encode({"error": problem})
    return send_response(start_response, status, body, "application/json")
