"""Slots for the upstream requests of one request, at endpoints that may run it."""

from __future__ import annotations

from ..verdict import Reason, Refusal, Verdict
from .context import Context
from .dispatching import VERSION_GONE_REFUSAL
from .endpoints import EndpointRow
from .jobs import DEFAULT_RETRY_AFTER_S, Job
from .requests import InboundRequest
from .routing_config import RetryMode
from .stream_versions import (
    MIN_STREAM_AGE_S,
    KnownVersion,
    StreamOrigin,
    UnknownVersion,
)
from .upstream_request import UpstreamRequest
from .version_coverage import VersionEvidence, VersionSource


class SlotAcquirer:
    """Acquires slots for one request.

    Args:
        ctx: State shared by all requests of the entry.
        req: The request.
        suspects: Fingerprints of the request and of the shared parts of its prompt.
        is_probe: Whether it is the half-open probe of a quarantined request.

    Attributes:
        has_attempted: Whether an upstream request has ended; a probe is sent once.
        version_source: From what it is known at which software version the stream has to go
            on; ``None`` while it has not begun.
        version_evidence: By what that version was taken for the only one; ``None`` if it
            was known already.
    """

    def __init__(
        self,
        ctx: Context,
        req: InboundRequest,
        suspects: tuple[bytes, ...],
        *,
        is_probe: bool,
    ) -> None:
        self._ctx = ctx
        self._req = req
        self._suspects = suspects
        self._is_probe = is_probe
        self._origin: StreamOrigin | None = None
        self.has_attempted = False
        self.version_source: VersionSource | None = None
        self.version_evidence: VersionEvidence | None = None
        self._is_concluded = False

    def acquire(self, job: Job) -> EndpointRow | Refusal:
        """Wait for the slot of an endpoint that may run the request."""
        while True:
            refusal = self._require_software_version(job)
            # A refusal is falsy, so compare with `None` instead of testing its truth.
            if refusal is not None:
                return refusal
            if job.needs_gone_version(self._ctx.endpoints, self._ctx.now()):
                return VERSION_GONE_REFUSAL
            found = self._ctx.scheduler.acquire_slot(job)
            if isinstance(found, Refusal):
                return found
            is_allowed_probe = self._is_probe and not self.has_attempted
            if self.is_quarantined and not is_allowed_probe:
                # While it waited, engines crashed that ran copies of it for other entries;
                # or one crashed during its previous attempt.
                self._ctx.scheduler.release_slot(job)
                return self._ctx.crashes.quarantine.refusal(*self._suspects)
            if job.fits(found) and not self._must_know_version(job):
                return found
            # While it waited, the endpoint's record has changed, or a second software
            # version has appeared.
            if not job.fits(found):
                job.tried_endpoints.add(found.id)
            self._ctx.scheduler.release_slot(job)

    @property
    def is_quarantined(self) -> bool:
        """Whether the request or a part of its prompt is quarantined."""
        return self._ctx.crashes.quarantine.is_quarantined(*self._suspects)

    def version_of(self, job: Job) -> str | None:
        """Return the software version that a job needs; ``None`` for any."""
        if self._origin is not None:
            return self._origin.software_version
        return job.software_version

    def _require_software_version(self, job: Job) -> Refusal | None:
        """Require the software version that began the stream, if it goes on.

        Returns:
            A refusal if the version is not known, and several may have served.
        """
        if self._origin is not None:
            job.software_version = self._origin.software_version
            self._set_source(VersionSource.MEMORY)
        if not self._goes_on or job.software_version is not None:
            return None
        found: KnownVersion | UnknownVersion
        if self._origin is None:
            found = self._ctx.streams.find(
                self._req.stream_rid, job.service, _max_age_s(job)
            )
            self._set_source(found.source)
        else:
            found = self._ctx.streams.find_only_version(job.service, _max_age_s(job))
        if isinstance(found, UnknownVersion):
            return Refusal(
                Verdict.NOT_RUN,
                Reason.SOFTWARE_VERSION,
                found.reason,
                retry_after_s=DEFAULT_RETRY_AFTER_S,
            )
        job.software_version = found.version
        self._is_concluded = found.is_concluded
        self.version_evidence = found.evidence
        return None

    def _set_source(self, source: VersionSource) -> None:
        """Record from what it is known where the stream has to go on, the first time."""
        if self.version_source is None:
            self.version_source = source
            if self._req.last_event_id:
                self._ctx.counters.take_ups[source] += 1

    @property
    def _goes_on(self) -> bool:
        """Whether the caller has events of the stream already."""
        return self._origin is not None or bool(self._req.last_event_id)

    def _must_know_version(self, job: Job) -> bool:
        """Return whether the stream goes on, but not at a known software version.

        The only one that served may have no name, and another one may have appeared since.
        """
        return (
            self._goes_on
            and job.software_version is None
            and self._ctx.streams.serves_several(job.service, _max_age_s(job))
        )

    def record_origin(self, upstream: UpstreamRequest) -> None:
        """Record which software version began a stream that may be continued."""
        route = upstream.job.route
        if self._origin is not None or route.retry_mode is not RetryMode.RESUME:
            return
        published = upstream.row.published
        version = upstream.job.software_version
        self._origin = self._ctx.streams.begin(
            self._req.stream_rid or self._req.rid,
            published,
            sent_at=upstream.sent_at,
            software_version=upstream.software_version if version is None else version,
            is_concluded=self._is_concluded,
        )

    def end_stream(self) -> None:
        """Record that the stream does not run here any more."""
        if self._origin is not None:
            self._ctx.streams.end(self._origin)


def _max_age_s(job: Job) -> float:
    """Return how long a stream that a job continues may have run, in seconds."""
    return max(job.route.timeout_s, MIN_STREAM_AGE_S)
