"""The interface of a platform's adapter: how it encodes requests and responses."""

from __future__ import annotations

from typing import Protocol

from ..verdict import Refusal
from .endpoints import Published
from .http1 import RawHead, RawRequest
from .requests import Header, HealthResponse, InboundRequest, ResponseHead
from .routing_config import ConfigRevision


class ProtocolAdapter(Protocol):
    """Translates between a platform's headers and the types of the direct path."""

    def request_id(self, headers: list[Header]) -> str:
        """Return the id in a request's headers; empty if there is none."""

    def read_request(self, raw: RawRequest, arrived_at: float) -> InboundRequest:
        """Decode a caller's request.

        Args:
            raw: The request as received.
            arrived_at: Monotonic time at which it was complete, in seconds.

        Raises:
            BadRequestError: A required header is missing or not valid.
        """

    def time_left_s(self, headers: list[Header]) -> float | None:
        """Return the time that a caller has left when it sends a request, in seconds.

        Args:
            headers: The request's headers.

        Returns:
            The time; ``None`` if the caller does not tell it.

        Raises:
            BadRequestError: It is not a number.
        """

    def endpoint_headers(
        self,
        req: InboundRequest,
        endpoint: Published,
        *,
        organisation: str,
        time_left_s: float,
        resume_after: str,
    ) -> list[Header]:
        """Return the headers of the request that is sent to an endpoint.

        Args:
            req: The caller's request.
            endpoint: The endpoint that it is sent to.
            organisation: Name of the organisation that sent it; empty on a public route.
            time_left_s: Time until the request's deadline, in seconds.
            resume_after: Id of the last event that the caller has; empty at the start.
        """

    def read_response(self, raw: RawHead, endpoint: str) -> ResponseHead:
        """Decode the head of an endpoint's response.

        Args:
            raw: The head as received.
            endpoint: Id of the endpoint that the request was sent to.
        """

    def health_headers(self, endpoint: Published) -> list[Header]:
        """Return the headers of a health check, which names the endpoint it is for.

        Args:
            endpoint: The endpoint that is checked.
        """

    def read_health(self, raw: RawHead, endpoint: str) -> HealthResponse:
        """Decode the head of a response to a health check.

        Args:
            raw: The head as received.
            endpoint: Id of the endpoint that was checked.
        """

    def promises_not_run(self, status: int) -> bool:
        """Return whether a status promises to callers that the request was not run."""

    def read_revision(self, text: bytes) -> ConfigRevision:
        """Decode a configuration that the platform published.

        Raises:
            RevisionError: The configuration is not valid.
        """

    def refusal(self, refusal: Refusal, rid: str) -> tuple[RawHead, bytes]:
        """Return head and body of the response with which the entry refuses a request."""
