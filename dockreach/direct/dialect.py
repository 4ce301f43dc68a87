"""What the direct path asks of an adapter: how one platform words requests and answers."""

from __future__ import annotations

from typing import Protocol

from ..verdict import Refusal
from .endpoints import Published
from .fleet import Revision
from .http1 import RawHead, RawRequest
from .requests import AnswerHead, Header, InboundRequest


class Dialect(Protocol):
    """Translates between a platform's headers and the product's types."""

    def read_request(self, raw: RawRequest, arrived: float) -> InboundRequest:
        """Decode a caller's request.

        Args:
            raw: The request as sent.
            arrived: Steady time at which it was whole, in seconds.

        Raises:
            BadRequestError: A header that is needed is missing or not valid.
        """

    def endpoint_headers(
        self,
        req: InboundRequest,
        endpoint: Published,
        *,
        organisation: str,
        left_s: float,
        resume_after: str,
    ) -> list[Header]:
        """Return the headers of the request to an endpoint.

        Args:
            req: The caller's request.
            endpoint: Where it goes.
            organisation: Whose key it carries; empty on a public route.
            left_s: Time that is left to answer it, in seconds.
            resume_after: Id of the last event that the caller has; empty at the start.
        """

    def read_answer(self, raw: RawHead) -> AnswerHead:
        """Decode the head of an endpoint's answer."""

    def read_revision(self, text: bytes) -> Revision:
        """Decode a configuration, as the platform published it.

        Raises:
            RevisionError: It is not valid.
        """

    def refusal(self, refusal: Refusal, rid: str) -> tuple[RawHead, bytes]:
        """Return head and body of a final answer of the entry's own."""
