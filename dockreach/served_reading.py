"""Reads how callers were served from metrics pages and logs of entries."""

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
from .served_worth import Counted, Prices
from .story import LogLine, read_lines

SECTION = "worth"
_TIER = "tier."
_LINE = '"event":'
"""Stands in every log line, and in no metrics page."""


_DEFAULTS = Prices()


class _PricesModel(msgspec.Struct, forbid_unknown_fields=True):
    """The section of a settings file, checked."""

    late_part: float = _DEFAULTS.late_part
    held: float = _DEFAULTS.held
    again: float = _DEFAULTS.again


def read_prices(path: Path) -> Prices:
    """Read prices from the section ``worth`` of an INI file.

    Raises:
        SettingsError: The file is not valid; it names the file and what is wrong.
    """
    parser = configparser.ConfigParser(inline_comment_prefixes=(";",))
    try:
        parser.read_string(path.read_text())
        section = dict(parser[SECTION])
        tiers = {
            int(key.removeprefix(_TIER)): float(section.pop(key))
            for key in list(section)
            if key.startswith(_TIER)
        }
        model = msgspec.convert(section, _PricesModel, strict=False)
    except KeyError as exc:
        raise SettingsError(str(path), SECTION, "", "there is no such section") from exc
    except (OSError, ValueError, configparser.Error, msgspec.ValidationError) as exc:
        raise SettingsError(str(path), SECTION, "", str(exc)) from exc
    return Prices(model.late_part, model.held, model.again, tiers)


def read_files(paths: Iterable[Path]) -> Counted:
    """Add up what entries counted; what cannot be read is named in the result.

    A file of JSON lines is a log, any other one a metrics page. Counts from logs lack the
    lines that were left out under load; metrics pages lack nothing.
    """
    counted = Counted()
    for path in paths:
        try:
            text = path.read_text(errors="replace")
        except OSError as exc:
            counted.problems.append(f"{path}: {exc.strerror}")
            continue
        found = _read_log(path, text) if _LINE in text else _read_page(path, text)
        if not found.tries:
            found.problems.append(f"{path}: no tries are told")
        counted.include(found)
    return counted


def _read_page(path: Path, text: str) -> Counted:
    counted = Counted()
    try:
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                _add_sample(sample, counted)
    except (ValueError, KeyError) as exc:
        counted.problems.append(f"{path}: {exc!r}")
    return counted


def _add_sample(sample: ParsedSample, counted: Counted) -> None:
    if sample.name == ATTEMPTS_METRIC:
        counted.add(OutcomeKey.from_labels(sample.labels), sample.value, 0.0)
    elif sample.name == UNSERVED_TIME_METRIC:
        counted.add(OutcomeKey.from_labels(sample.labels), 0.0, sample.value)


def _read_log(path: Path, text: str) -> Counted:
    counted = Counted()
    texts = [line for line in text.splitlines() if _LINE in line]
    lines = list(read_lines(texts))
    if len(lines) < len(texts):
        counted.problems.append(f"{path}: {len(texts) - len(lines)} torn lines")
    for line in lines:
        counted.left_out += int(line.fields.get("left_out", 0))
        counted.left_out += int(line.fields.get("dropped_lines", 0))
        if "outcome" in line.fields and "tier" in line.fields:
            _add_line(line, counted)
    return counted


def _add_line(line: LogLine, counted: Counted) -> None:
    try:
        ending = OutcomeKey(
            route=str(line.fields["route"]),
            tier=int(line.fields["tier"]),
            outcome=Outcome(line.fields["outcome"]),
            reason=str(line.fields.get("reason", "")),
            is_retry=float(line.fields.get("tried_ms", 0)) > 0,
        )
    except ValueError as exc:
        counted.problems.append(f"{line.daemon}: request {line.rid}: {exc}")
        return
    objective_s = float(line.fields.get("objective_ms", 0)) / 1000
    held = 0.0
    if ending.outcome not in SERVED and objective_s:
        held = line.held.total_seconds() / objective_s
    counted.add(ending, 1.0, held)
