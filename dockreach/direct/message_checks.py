"""Checks the numbers and addresses in messages of other entries.

The encoding allows numbers that are infinite or not a number. In the queue, the shares and
the slot forecast one of these would outlast its message: comparisons with it are false, and
sums with it stay undefined.
"""

from __future__ import annotations

import math
import re
from collections.abc import Collection
from functools import singledispatch
from typing import TypeVar

from ..addresses import ADDRESS_PATTERN
from .crash_history import CrashReport, ReportedCrash
from .digest import Address, CrashUpdate, Digest
from .relayed_notice import NoticeUpdate, RelayedNotice
from .slot_messages import (
    Denial,
    Grant,
    HeldJob,
    LoadReport,
    RecentSend,
    Sample,
    SlotReply,
    SlotState,
    WaitingJob,
)
from .stream_messages import StreamQuestion, StreamReport, VersionSummary

MAX_LOAD_FIGURE = 100_000
"""Largest figure of a load that makes sense; the platform's adapter has the same bound."""

MAX_REPORTED_AGE_S = 3600.0
"""Largest age that a message may state, in seconds; requests last for seconds."""


MAX_TOKENS = 10**12
"""Largest number of tokens or events that makes sense; sums of them fit into messages."""

MAX_USED_TOKENS = 10**14
"""Largest usage in one time bucket that makes sense; the sum of all buckets of all entries
fits into messages."""

MAX_TOTAL = 2**62
"""Largest usage of an organisation over all entries that makes sense."""

_ADDRESS = re.compile(ADDRESS_PATTERN)

_Message = TypeVar(
    "_Message", bound=SlotState | SlotReply | Digest | CrashUpdate | NoticeUpdate
)


def without_invalid_parts(message: _Message) -> _Message:
    """Remove the parts that make no sense from a message; return the message."""
    _remove_invalid_parts(message)
    return message


@singledispatch
def _remove_invalid_parts(message: object) -> None:
    raise NotImplementedError(type(message))


@_remove_invalid_parts.register
def _(state: SlotState) -> None:
    state.waiting = [job for job in state.waiting if is_valid(job)]
    state.held = [job for job in state.held if is_valid(job)]
    state.samples = [sample for sample in state.samples if is_valid(sample)]
    state.recent_sends = [send for send in state.recent_sends if is_valid(send)]
    # Those of earlier versions, of which none is used.
    state.unused = []
    state.loads = [report for report in state.loads if is_valid(report)]


@_remove_invalid_parts.register
def _(reply: SlotReply) -> None:
    reply.grants = [grant for grant in reply.grants if is_valid(grant)]
    reply.denials = [denial for denial in reply.denials if is_valid(denial)]


@_remove_invalid_parts.register
def _(digest: Digest) -> None:
    digest.known_peers = [peer for peer in digest.known_peers if is_valid(peer)]
    digest.crash_reports = [row for row in digest.crash_reports if is_valid(row)]
    digest.notices = [notice for notice in digest.notices if is_valid(notice)]


@_remove_invalid_parts.register
def _(update: CrashUpdate) -> None:
    update.crash_reports = [row for row in update.crash_reports if is_valid(row)]


@_remove_invalid_parts.register
def _(update: NoticeUpdate) -> None:
    update.notices = [notice for notice in update.notices if is_valid(notice)]


@singledispatch
def is_valid(part: object) -> bool:
    """Return whether the numbers and the address of a message, or of its part, make sense.

    The parts of a message are checked apart.
    """
    raise NotImplementedError(type(part))


@is_valid.register
def _(address: Address) -> bool:
    return bool(_ADDRESS.fullmatch(f"{address.ip}:{address.port}"))


@is_valid.register
def _(digest: Digest) -> bool:
    return (
        is_valid(digest.address)
        and _is_amount(digest.age_s)
        and 0.0 < digest.capacity < math.inf
        # Infinite before the first answer of the platform.
        and digest.configuration_age_s >= 0.0
        and digest.endpoints_age_s >= 0.0
        and digest.endpoints_complete_s >= 0.0
        and digest.configuration_known_s >= 0.0
        and _are_within(digest.in_flight.values(), 0, MAX_TOKENS)
        and all(
            _are_within(buckets, -MAX_USED_TOKENS, MAX_USED_TOKENS)
            for buckets in digest.used.values()
        )
        and _are_within((digest.fleet_used or {}).values(), -MAX_TOTAL, MAX_TOTAL)
    )


@is_valid.register
def _(message: SlotState | SlotReply | StreamQuestion) -> bool:
    return is_valid(message.address)


@is_valid.register
def _(report: StreamReport) -> bool:
    return is_valid(report.address) and (
        report.versions is None or is_valid(report.versions)
    )


@is_valid.register
def _(summary: VersionSummary) -> bool:
    return (
        0 <= summary.known_s <= MAX_REPORTED_AGE_S
        # Infinite before the first list.
        and summary.confirmed_age_s >= 0.0
        and all(
            _is_amount(age_s) for ages in summary.ages.values() for age_s in ages.values()
        )
    )


@is_valid.register
def _(message: CrashUpdate | NoticeUpdate) -> bool:
    del message
    return True


@is_valid.register
def _(report: CrashReport) -> bool:
    return _is_past(report.last_seen_age_s) and all(map(is_valid, report.crashes))


@is_valid.register
def _(crash: ReportedCrash) -> bool:
    return _is_past(crash.request_age_s) and _is_past(crash.crash_age_s)


@is_valid.register
def _(notice: RelayedNotice) -> bool:
    # Infinite where the time of the request is not known.
    return (
        (notice.rate is None or _is_amount(notice.rate))
        and notice.request_age_s >= -MAX_REPORTED_AGE_S
        and notice.report_age_s >= -MAX_REPORTED_AGE_S
    )


@is_valid.register
def _(job: WaitingJob) -> bool:
    return (
        bool(job.rank)
        and _is_age(job.age_s)
        and _is_age(job.earlier_age_s)
        and _is_amount(job.expected_events)
        and _is_count(job.prompt_tokens)
        and all(_is_count(tokens) for _, tokens in job.prefix)
        and not any(map(math.isnan, job.blocked_s.values()))
        and not math.isnan(job.queue_timeout_s)
        and not math.isnan(job.time_left_s)
        and not math.isnan(job.caller_time_left_s)
    )


@is_valid.register
def _(job: HeldJob) -> bool:
    return (
        _is_amount(job.expected_events)
        and _is_amount(job.age_s)
        and _is_count(job.events)
        and _is_count(job.prompt_tokens)
        and _is_count(job.prefill_tokens)
    )


@is_valid.register
def _(sample: Sample) -> bool:
    return (
        _is_count(sample.tokens)
        and 0.0 <= sample.seconds <= MAX_REPORTED_AGE_S
        and 0.0 <= sample.percent <= MAX_LOAD_FIGURE
    )


@is_valid.register
def _(send: RecentSend) -> bool:
    return _is_age(send.age_s)


@is_valid.register
def _(report: LoadReport) -> bool:
    figures = (report.running, report.waiting, report.slots, report.percent)
    return all(0 <= figure <= MAX_LOAD_FIGURE for figure in figures) and (
        0.0 <= report.age_s <= MAX_REPORTED_AGE_S
    )


@is_valid.register
def _(grant: Grant) -> bool:
    return (
        _is_count(grant.prefill_tokens)
        and _is_count(grant.prefill_ahead)
        and _is_age(grant.unused_age_s)
        and 0 <= grant.load_percent <= MAX_LOAD_FIGURE
    )


@is_valid.register
def _(denial: Denial) -> bool:
    return denial.retry_after_s is None or 0.0 <= denial.retry_after_s <= MAX_REPORTED_AGE_S


def _are_within(values: Collection[int], least: int, most: int) -> bool:
    return not values or (min(values) >= least and max(values) <= most)


def _is_past(age_s: float) -> bool:
    """Return whether an age makes sense that may grow without a bound."""
    return -MAX_REPORTED_AGE_S <= age_s < math.inf


def _is_count(value: int) -> bool:
    return 0 <= value <= MAX_TOKENS


def _is_age(seconds: float) -> bool:
    """Return whether a time relative to the message makes sense, before or after it."""
    return -MAX_REPORTED_AGE_S <= seconds <= MAX_REPORTED_AGE_S


def _is_amount(value: float) -> bool:
    return 0.0 <= value < math.inf
