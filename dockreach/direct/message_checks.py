"""Checks the numbers in messages of other entries.

The encoding allows numbers that are infinite or not a number. In the queue, the shares and
the slot forecast one of these would outlast its message: comparisons with it are false, and
sums with it stay undefined.
"""

from __future__ import annotations

import math
from functools import singledispatch

from .slot_messages import HeldJob, LoadReport, RefusalReport, SlotState, WaitingJob

MAX_LOAD_FIGURE = 100_000
"""Largest figure of a load that makes sense; the platform's adapter has the same bound."""

MAX_REPORTED_AGE_S = 3600.0
"""Largest age that a message may state, in seconds; requests last for seconds."""


def without_invalid_parts(state: SlotState) -> SlotState:
    """Remove jobs and reports with invalid numbers from a state; return the state."""
    state.waiting = [job for job in state.waiting if is_valid(job)]
    state.held = [job for job in state.held if is_valid(job)]
    state.refusals = [report for report in state.refusals if is_valid(report)]
    state.loads = [report for report in state.loads if is_valid(report)]
    return state


@singledispatch
def is_valid(part: object) -> bool:
    """Return whether all numbers in a part of a state make sense."""
    raise NotImplementedError(type(part))


@is_valid.register
def _(job: WaitingJob) -> bool:
    return (
        bool(job.rank)
        and _is_age(job.age_s)
        and _is_age(job.first_attempt_age_s)
        and _is_amount(job.expected_events)
        and job.prompt_tokens >= 0
        and not math.isnan(job.queue_timeout_s)
        and not math.isnan(job.time_left_s)
        and not math.isnan(job.caller_time_left_s)
    )


@is_valid.register
def _(job: HeldJob) -> bool:
    return (
        _is_amount(job.expected_events)
        and _is_amount(job.age_s)
        and job.events >= 0
        and job.prompt_tokens >= 0
    )


@is_valid.register
def _(report: RefusalReport) -> bool:
    return (
        _is_age(report.first_attempt_age_s)
        and _is_age(report.retry_in_s)
        and not math.isnan(report.caller_time_left_s)
        and not math.isnan(report.held_s)
    )


@is_valid.register
def _(report: LoadReport) -> bool:
    figures = (report.running, report.waiting, report.slots, report.percent)
    return all(0 <= figure <= MAX_LOAD_FIGURE for figure in figures) and (
        0.0 <= report.age_s <= MAX_REPORTED_AGE_S
    )


def _is_age(seconds: float) -> bool:
    """Return whether a time relative to the message makes sense, before or after it."""
    return -MAX_REPORTED_AGE_S <= seconds <= MAX_REPORTED_AGE_S


def _is_amount(value: float) -> bool:
    return 0.0 <= value < math.inf
