"""Simulated days on which one prompt part crashes engines, with entries that share news."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b

from dockreach.direct.crash_history import CrashReport
from dockreach.direct.fingerprint import FINGERPRINT_BYTES, PART_MARK
from dockreach.direct.quarantine import HARMLESS_EVENTS, Admission, RequestQuarantine

ENTRIES = 5
ENGINES = 9
DOWN_S = 3.0
"""How long a crashed engine is away, in seconds."""

PREFILL_S = 0.15
EVENT_S = 0.03
STREAM_EVENTS = 40
DIGEST_S = 0.1
RESENDS_S = (0.1, 0.4, 1.2)

CONTACT_S = 3.0
"""Time after the fifth crash in which the entries have to agree, in seconds."""

CRASHES = 5
"""Crashes under one prompt part from which it must hardly be sent."""


def part_key(name: str) -> bytes:
    """Return the fingerprint of a prompt part."""
    return PART_MARK + blake2b(name.encode(), digest_size=FINGERPRINT_BYTES).digest()


@dataclass(slots=True)
class Request:
    """A request that an engine runs.

    Attributes:
        began_at: Time of its first event, in seconds; ``None`` before.
    """

    entry: int
    suspects: tuple[bytes, ...]
    is_crashing: bool
    sent_at: float
    is_probe: bool = False
    began_at: float | None = None
    events: int = 0


@dataclass(slots=True)
class Engine:
    """One engine, with the requests that it runs."""

    life: str
    is_up: bool = True
    running: list[Request] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Load:
    """What callers send.

    Attributes:
        sound_per_s: Harmless requests a second.
        crashing_per_s: Requests with the crashing part a second.
        first_parts: Number of different first parts of prompts.
        common_first: Whether all requests have the same first part.
        companion: Whether another part always comes with the crashing one.
        natural_crashes: Times at which some engines crash for another reason, in seconds.
        has_repeats: Whether a lost request is sent once more at once.
    """

    sound_per_s: float = 30.0
    crashing_per_s: float = 2.0
    first_parts: int = 40
    common_first: bool = False
    companion: bool = False
    natural_crashes: tuple[float, ...] = ()
    has_repeats: bool = False


class Day:
    """One simulated day.

    Args:
        seed: Seed of all draws.
        load: What callers send.
        length_s: Length of the day, in seconds.

    Attributes:
        crashed_at: Times at which engines crashed under the crashing part, in seconds.
        sent_at: Times at which requests with that part were sent, in seconds.
        refused_at: Times at which harmless requests were refused, in seconds.
        asked_at: Times of all harmless requests, in seconds.
    """

    def __init__(self, seed: int, load: Load, *, length_s: float = 90.0) -> None:
        self.now = 0.0
        self._load = load
        self._length_s = length_s
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._lives = itertools.count()
        self._bodies = itertools.count()
        self.entries = [
            RequestQuarantine(lambda: self.now, self._owner(number))
            for number in range(ENTRIES)
        ]
        self.engines = [Engine(self._life()) for _ in range(ENGINES)]
        self.crashed_at: list[float] = []
        self.sent_at: list[float] = []
        self.refused_at: list[float] = []
        self.asked_at: list[float] = []

    @staticmethod
    def _owner(number: int) -> Callable[[bytes], bool]:
        return lambda fingerprint: fingerprint[-1] % ENTRIES == number

    def _life(self) -> str:
        return f"life-{next(self._lives)}"

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time, in seconds."""
        heapq.heappush(self._events, (when, next(self._order), action))

    def run(self) -> Day:
        """Run the day; return it."""
        self.at(0.0, self._arrive_sound)
        self.at(5.0, self._arrive_crashing)
        self.at(0.0, self._exchange_digests)
        for when in self._load.natural_crashes:
            self.at(when, self._crash_some)
        while self._events and self._events[0][0] < self._length_s:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self

    def _arrive_sound(self) -> None:
        self.at(
            self.now + self._rng.expovariate(self._load.sound_per_s), self._arrive_sound
        )
        self.asked_at.append(self.now)
        suspects = (self._body(), self._first_part())
        if not self._arrive(suspects, is_crashing=False):
            self.refused_at.append(self.now)

    def _arrive_crashing(self) -> None:
        gap_s = self._rng.expovariate(self._load.crashing_per_s)
        self.at(self.now + gap_s, self._arrive_crashing)
        companion = (part_key("companion"),) if self._load.companion else ()
        suspects = (self._body(), self._first_part(), *companion, part_key("crashing"))
        self._arrive(suspects, is_crashing=True)

    def _body(self) -> bytes:
        return next(self._bodies).to_bytes(8)

    def _first_part(self) -> bytes:
        if self._load.common_first:
            return part_key("first")
        number = int(self._load.first_parts * self._rng.random() ** 1.5)
        return part_key(f"first {number}")

    def _arrive(self, suspects: tuple[bytes, ...], *, is_crashing: bool) -> bool:
        entry = self._rng.randrange(ENTRIES)
        admission = self.entries[entry].admit(*suspects)
        if admission not in (Admission.ALLOWED, Admission.PROBE):
            return False
        is_probe = admission is Admission.PROBE
        self._send(Request(entry, suspects, is_crashing, self.now, is_probe))
        return True

    def _send(self, req: Request) -> None:
        up = [engine for engine in self.engines if engine.is_up]
        if not up:
            return
        engine = self._rng.choice(up)
        req.sent_at, req.began_at, req.events = self.now, None, 0
        engine.running.append(req)
        if req.is_crashing:
            self.sent_at.append(self.now)
            self.at(self.now + PREFILL_S, lambda: self._crash(engine, req))
        else:
            self.at(self.now + PREFILL_S, lambda: self._event(engine, req))

    def _event(self, engine: Engine, req: Request) -> None:
        if req not in engine.running:
            return
        req.began_at = self.now if req.began_at is None else req.began_at
        req.events += 1
        quarantine = self.entries[req.entry]
        if req.events == HARMLESS_EVENTS:
            for part in req.suspects[1:]:
                if quarantine.record_harmless_part(part, req.began_at):
                    self._report(req.entry, part)
        if req.events == STREAM_EVENTS:
            engine.running.remove(req)
            quarantine.record_completion(req.suspects[0])
        else:
            self.at(self.now + EVENT_S, lambda: self._event(engine, req))

    def _crash(self, engine: Engine, cause: Request | None) -> None:
        if cause is not None and cause not in engine.running:
            return
        if cause is not None:
            self.crashed_at.append(self.now)
        life, lost = engine.life, engine.running
        engine.is_up, engine.running = False, []
        self.at(self.now + DOWN_S, lambda: self._restart(engine))
        crashed_at = self.now
        for req in lost:
            self.at(self.now + 0.01, lambda req=req: self._lose(req, life, crashed_at))  # type: ignore[misc]

    def _lose(self, req: Request, life: str, crashed_at: float) -> None:
        quarantine = self.entries[req.entry]
        for suspect in req.suspects if req.events < HARMLESS_EVENTS else ():
            is_new = quarantine.record_crash(
                suspect,
                life,
                sent_at=req.sent_at,
                crashed_at=crashed_at,
                is_probe=req.is_probe,
            )
            if is_new:
                self._report(req.entry, suspect)
                if quarantine.is_quarantined(*req.suspects):
                    for delay_s in RESENDS_S:
                        self.at(
                            self.now + delay_s,
                            lambda suspect=suspect: self._report(req.entry, suspect),  # type: ignore[misc]
                        )
        if self._load.has_repeats and not quarantine.is_quarantined(*req.suspects):
            self._send(req)

    def _restart(self, engine: Engine) -> None:
        engine.life, engine.is_up = self._life(), True

    def _crash_some(self) -> None:
        for engine in self._rng.sample(self.engines, 3):
            if engine.is_up:
                self._crash(engine, None)

    def _report(self, sender: int, fingerprint: bytes) -> None:
        for report in self.entries[sender].report(fingerprint):
            self._deliver(sender, report, loss=0.1)

    def _exchange_digests(self) -> None:
        self.at(self.now + DIGEST_S, self._exchange_digests)
        for number, quarantine in enumerate(self.entries):
            for report in quarantine.next_reports():
                self._deliver(number, report, loss=0.1)

    def _deliver(self, sender: int, report: CrashReport, *, loss: float) -> None:
        for number, quarantine in enumerate(self.entries):
            if number != sender and self._rng.random() >= loss:
                delay_s = self._rng.uniform(0.001, 0.005)
                self.at(
                    self.now + delay_s,
                    lambda quarantine=quarantine: quarantine.merge(report),  # type: ignore[misc]
                )

    @property
    def late_sends(self) -> int:
        """Requests with the crashing part that were sent after the entries had to agree."""
        if len(self.crashed_at) < CRASHES:
            return 0
        since = self.crashed_at[CRASHES - 1] + CONTACT_S
        return sum(at > since for at in self.sent_at)

    def share_refused(self, since: float) -> float:
        """Return the share of the harmless requests from a time on that were refused."""
        asked = sum(at >= since for at in self.asked_at)
        return sum(at >= since for at in self.refused_at) / max(asked, 1)
