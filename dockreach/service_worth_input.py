"""Reads attempt counts from metrics pages and logs of entries, and prices from a file."""

from __future__ import annotations

import configparser
from collections.abc import Iterable
from pathlib import Path

import msgspec
from prometheus_client.parser import text_string_to_metric_families
from prometheus_client.samples import Sample as ParsedSample

from .direct.outcomes import (
    ATTEMPTS_METRIC,
    SERVED,
    UNSERVED_TIME_METRIC,
    Outcome,
    OutcomeKey,
)
from .errors import SettingsError
from .request_timeline import LogLine, parse_lines
from .service_worth import AttemptCounts, Prices

SECTION = "worth"
_TIER_KEY_PREFIX = "tier."
_LOG_LINE_MARKER = '"event":'
"""A text that every log line contains and no metrics page."""


class _PricesModel(msgspec.Struct, forbid_unknown_fields=True):
    """The keys of the section, except those of tiers."""

    late_part: float
    held: float
    again: float


def read_prices(path: Path) -> Prices:
    """Read prices from the section ``worth`` of an INI file.

    The worth of a request of tier N has the key ``tier.N``.

    Raises:
        SettingsError: The file cannot be read or is invalid.
    """
    parser = configparser.ConfigParser(inline_comment_prefixes=(";",))
    try:
        parser.read_string(path.read_text())
        section = dict(parser[SECTION])
        tiers = {
            int(key.removeprefix(_TIER_KEY_PREFIX)): float(section.pop(key))
            for key in list(section)
            if key.startswith(_TIER_KEY_PREFIX)
        }
        model = msgspec.convert(section, _PricesModel, strict=False)
    except KeyError as exc:
        raise SettingsError(str(path), SECTION, "", "the section does not exist") from exc
    except (OSError, ValueError, configparser.Error, msgspec.ValidationError) as exc:
        raise SettingsError(str(path), SECTION, "", str(exc)) from exc
    return Prices(model.late_part, model.held, model.again, tiers)


def read_attempt_counts(paths: Iterable[Path]) -> AttemptCounts:
    """Add up the attempts in files; the result lists what could not be read.

    A file of JSON lines is a log, any other file is a metrics page. Log lines may have been
    dropped under load, so that counts from logs can be incomplete; those from metrics pages
    are complete.
    """
    counts = AttemptCounts()
    for path in paths:
        try:
            text = path.read_text(errors="replace")
        except OSError as exc:
            counts.problems.append(f"{path}: {exc.strerror}")
            continue
        of_file = (
            _read_log(path, text)
            if _LOG_LINE_MARKER in text
            else _read_metrics_page(path, text)
        )
        if not of_file.tries:
            of_file.problems.append(f"{path}: no attempts found")
        counts.merge(of_file)
    return counts


def _read_metrics_page(path: Path, text: str) -> AttemptCounts:
    counts = AttemptCounts()
    try:
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                _add_sample(sample, counts)
    except (ValueError, KeyError) as exc:
        counts.problems.append(f"{path}: {exc!r}")
    return counts


def _add_sample(sample: ParsedSample, counts: AttemptCounts) -> None:
    if sample.name == ATTEMPTS_METRIC:
        counts.add(OutcomeKey.from_labels(sample.labels), sample.value, 0.0)
    elif sample.name == UNSERVED_TIME_METRIC:
        counts.add(OutcomeKey.from_labels(sample.labels), 0.0, sample.value)


def _read_log(path: Path, text: str) -> AttemptCounts:
    counts = AttemptCounts()
    texts = [line for line in text.splitlines() if _LOG_LINE_MARKER in line]
    lines = list(parse_lines(texts))
    if len(lines) < len(texts):
        counts.problems.append(f"{path}: {len(texts) - len(lines)} torn lines")
    for line in lines:
        counts.left_out += int(line.fields.get("left_out", 0))
        counts.left_out += int(line.fields.get("dropped_lines", 0))
        if "outcome" in line.fields and "tier" in line.fields:
            _add_line(line, counts)
    return counts


def _add_line(line: LogLine, counts: AttemptCounts) -> None:
    try:
        outcome_key = OutcomeKey(
            route=str(line.fields["route"]),
            tier=int(line.fields["tier"]),
            outcome=Outcome(line.fields["outcome"]),
            reason=str(line.fields.get("reason", "")),
            is_retry=float(line.fields.get("tried_ms", 0)) > 0,
        )
    except ValueError as exc:
        counts.problems.append(f"{line.daemon}: request {line.rid}: {exc}")
        return
    objective_s = float(line.fields.get("objective_ms", 0)) / 1000
    held_objectives = 0.0
    if outcome_key.outcome not in SERVED and objective_s:
        held_objectives = line.request_age.total_seconds() / objective_s
    counts.add(outcome_key, 1.0, held_objectives)
