"""Reports which upstream requests of one request may have crashed an engine, or did not."""

from __future__ import annotations

from .context import Context
from .crash_reporter import UnansweredRequest
from .requests import InboundRequest
from .upstream_request import UpstreamRequest


class HarmReporter:
    """Reports to the crash reporter on the upstream requests of one request.

    Args:
        ctx: State shared by all requests of the entry.
        req: The request.
        suspects: Fingerprints of the request and of the shared parts of its prompt.
        organisation: Name of the organisation that sent it; empty on a public route.
        is_probe: Whether it is the half-open probe of a quarantined request.
    """

    def __init__(
        self,
        ctx: Context,
        req: InboundRequest,
        suspects: tuple[bytes, ...],
        *,
        organisation: str,
        is_probe: bool,
    ) -> None:
        self._ctx = ctx
        self._req = req
        self._fingerprint, *parts = suspects
        self._part_fingerprints = tuple(parts)
        self._organisation = organisation
        self._is_probe = is_probe

    def report_unanswered(
        self, upstream: UpstreamRequest, *, is_connection_broken: bool
    ) -> None:
        """Have the crash reporter check if the engine crashed in an upstream request.

        A stream that has run for a while without harm is not reported.

        Args:
            upstream: The upstream request.
            is_connection_broken: Whether the connection to the engine broke.
        """
        now = self._ctx.now()
        if upstream.has_run_without_harm(now):
            return
        crashes = self._ctx.crashes
        unanswered = UnansweredRequest(
            self._req.path,
            self._fingerprint,
            self._organisation,
            upstream.row,
            upstream.sent_at,
            now,
            parts=self._req.shared_parts,
            part_fingerprints=self._part_fingerprints,
            is_probe=self._is_probe,
        )
        if is_connection_broken:
            crashes.record_lost(unanswered)
        else:
            crashes.record_abandoned(unanswered)

    def record_completion(self) -> None:
        """Record that the request completed: it is harmless."""
        self._ctx.crashes.record_completion(self._fingerprint)

    def record_harmless_parts(self, upstream: UpstreamRequest) -> None:
        """Record, once in an attempt, that the prompt's parts crash no engine."""
        if upstream.has_proven_parts or not self._part_fingerprints:
            return
        upstream.has_proven_parts = True
        began_at = upstream.sent_at
        if upstream.first_event_at is not None:
            began_at = upstream.first_event_at
        self._ctx.crashes.record_harmless_parts(self._part_fingerprints, began_at)
