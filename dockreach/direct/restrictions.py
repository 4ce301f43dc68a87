"""Decides from crash histories which requests and prompt parts must not run freely.

A crash takes everything that ran on its engine, so all of it is suspected. Where two
suspects share crashes, the one with more of them explains them, and the other one is only
held to those that remain. Suspects with the same crashes can't be told apart.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from .crash_history import SERIALIZE_AFTER, CrashedRun, CrashHistory, evidence_of


class Restriction(NamedTuple):
    """Why a request or a prompt part must not run freely.

    Attributes:
        is_quarantined: Whether it must not run; otherwise one copy runs at a time.
        tied: The suspects with the same crashes, itself included.
    """

    is_quarantined: bool
    tied: frozenset[bytes]


@dataclass(frozen=True, slots=True)
class _Suspect:
    """A request or a prompt part under which several engines crashed.

    Attributes:
        runs: The runs that may have crashed their engines, the earliest crash first.
        engines: Incarnations of these engines.
    """

    fingerprint: bytes
    runs: list[CrashedRun]
    engines: frozenset[str]

    def is_explained_by(self, other: _Suspect, max_runs: int) -> bool:
        """Return whether another suspect explains enough of the crashes."""
        if len(other.engines) <= len(self.engines) or not self.engines & other.engines:
            return False
        rest = [run for run in self.runs if run.incarnation not in other.engines]
        return not _is_restricted(rest, max_runs)


def find_restrictions(
    histories: Mapping[bytes, CrashHistory],
    crashed_at: Mapping[str, float],
    *,
    max_runs: int,
) -> dict[bytes, Restriction]:
    """Return the restricted requests and prompt parts, by fingerprint.

    Args:
        histories: Crash histories by fingerprint.
        crashed_at: Earliest known monotonic time of each engine's crash, in seconds.
        max_runs: Crashed runs after which a suspect is quarantined.
    """
    suspects = list(_suspects(histories, crashed_at, max_runs))
    ties: dict[frozenset[str], set[bytes]] = {}
    for suspect in suspects:
        ties.setdefault(suspect.engines, set()).add(suspect.fingerprint)
    return {
        suspect.fingerprint: Restriction(
            evidence_of(suspect.runs) >= max_runs, frozenset(ties[suspect.engines])
        )
        for suspect in suspects
        if not any(suspect.is_explained_by(other, max_runs) for other in suspects)
    }


def _suspects(
    histories: Mapping[bytes, CrashHistory], crashed_at: Mapping[str, float], max_runs: int
) -> Iterable[_Suspect]:
    for fingerprint, history in histories.items():
        if len(history.crashes) < min(max_runs, SERIALIZE_AFTER):
            continue
        runs = history.suspected_runs(crashed_at)
        if _is_restricted(runs, max_runs):
            engines = frozenset(run.incarnation for run in runs)
            yield _Suspect(fingerprint, runs, engines)


def _is_restricted(runs: list[CrashedRun], max_runs: int) -> bool:
    """Return whether crashed runs quarantine or serialize what was run.

    For serialization each engine counts, even if all crashed at once.
    """
    return len(runs) >= SERIALIZE_AFTER or evidence_of(runs) >= max_runs
