"""Replays a surge of one organisation, with and without shares between organisations.

Tier 2 is overloaded, and for 6 s one organisation sends seven times its usual load there.
All other requests are the same in each replay of a seed. The kinds of requests are those of
the order assistants (docs/design/hard-load.md), with prompts and lengths that take as long
at the replays' engines as at theirs.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import click

from dockreach.direct.routing_config import Organisation

from .fleet import Replay
from .patterns import Burst, LoadPattern, RequestKind

ENGINES = 19
TOP = RequestKind("top", 0, 33.6 / ENGINES, 2470, 33, 1.063, 0.6, 10.6)
MIDDLE = RequestKind("middle", 1, 14.6 / ENGINES, 1930, 14, 0.845, 0.6, 6.3)
LOWEST = RequestKind("lowest", 2, 44.3 / ENGINES, 760, 47, 0.626, 0.6, 12.5)
ORDER_KINDS = (TOP, MIDDLE, LOWEST)

ORGANISATIONS = 16
LARGEST_SHARE = 1 / 3
"""Share of the load that the largest organisation sends. The others' shares fall in
proportion to 1/2, 1/3 and so on."""

SURGE_FACTOR = 7
SURGE_START_S = 6.0
SURGE_END_S = 12.0
RATE = 100_000.0
"""Tokens a second of all organisations' quotas; only the proportions matter here."""

OVERLOAD_FACTOR = 2.0
"""Load of tier 2 in multiples of the usual; a fifth of it is refused then."""

OVERLOAD = LoadPattern(
    "tier 2 overloaded",
    load=0.8,
    time_factors=(1.0, 1.0, 3.0),
    bursts=(Burst(3, 17, OVERLOAD_FACTOR, LOWEST.name),),
)


def load_shares() -> dict[str, float]:
    """Return the usual share of the load of each organisation; the largest is first."""
    falling = [1 / (number + 2) for number in range(ORGANISATIONS - 1)]
    rest = (1 - LARGEST_SHARE) / sum(falling)
    parts = [LARGEST_SHARE, *(part * rest for part in falling)]
    return {f"org-{number}": part for number, part in enumerate(parts)}


@dataclass(slots=True)
class Outcomes:
    """Requests of tier 2, by organisation, without the additional ones of the surge.

    Those of the surging organisation are counted with them.
    """

    sent: Counter[str] = field(default_factory=Counter)
    in_time: Counter[str] = field(default_factory=Counter)
    late: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)

    def add(self, other: Outcomes) -> None:
        """Add the outcomes of another replay."""
        self.sent.update(other.sent)
        self.in_time.update(other.in_time)
        self.late.update(other.late)
        self.refused.update(other.refused)

    def without(self, organisation: str) -> tuple[int, int]:
        """Return the requests sent and answered in time of all other organisations."""
        sent = self.sent.total() - self.sent[organisation]
        return sent, self.in_time.total() - self.in_time[organisation]


class OrganisationReplay(Replay):
    """Replay of the overload, with requests of several organisations.

    Args:
        entries: Number of entries.
        engines: Number of engines.
        seed: Seed of arrivals, lengths, delays and senders.
        surging: Name of the organisation that surges; empty for none.
        is_shared: Whether the organisations have rates, so that shares are in force.
    """

    def __init__(
        self, *, entries: int, engines: int, seed: int, surging: str, is_shared: bool
    ) -> None:
        super().__init__(
            OVERLOAD, entries=entries, engines=engines, seed=seed, kinds=ORDER_KINDS
        )
        self._surging = surging
        self._shares = load_shares()
        self._sender_rng = random.Random(seed + 2)
        for kind in ORDER_KINDS:
            for organisation in self._shares:
                own = _kind_of(kind, organisation)
                self.routes[own.name] = own.route()
        if is_shared:
            rates = {name: RATE * part for name, part in self._shares.items()}
            for entry in self.entries:
                entry.dispatcher.apply_organisations(
                    Organisation(name, frozenset(), None, rate, 0.0, 0)
                    for name, rate in rates.items()
                )

    def outcomes(self) -> Outcomes:
        """Run the replay; return the outcomes of tier 2."""
        if self._surging:
            self._schedule_surge()
        totals = self.run()
        result = Outcomes()
        for name in self._shares:
            key = _kind_of(LOWEST, name).name
            result.sent[name] = totals.sent[key]
            result.in_time[name] = totals.in_time[key]
            result.late[name] = totals.late[key]
            result.refused[name] = totals.refused[key]
        return result

    def _new_arrival(self, kind: RequestKind) -> Callable[[float], None]:
        names, parts = zip(*self._shares.items(), strict=True)
        (name,) = self._sender_rng.choices(names, parts)
        return super()._new_arrival(_kind_of(kind, name))

    def _schedule_surge(self) -> None:
        """Schedule the additional requests, drawn from random numbers of their own."""
        usual, self._rng = self._rng, random.Random(self.seed + 3)
        kind = _kind_of(LOWEST, self._surging)
        factor = (SURGE_FACTOR - 1) * self._shares[self._surging]
        more = replace(kind, requests_per_engine_s=kind.requests_per_engine_s * factor)
        for at_s, count in self.pattern.arrivals(more, len(self.engines), self._rng):
            if SURGE_START_S <= at_s < SURGE_END_S:
                for _ in range(count):
                    arrive = super()._new_arrival(kind)
                    self.clock.call_at(self.clock.now + at_s, arrive)
        self._rng = usual


def _kind_of(kind: RequestKind, organisation: str) -> RequestKind:
    return replace(kind, name=f"{kind.name}/{organisation}", organisation=organisation)


def replayed(
    *, entries: int, engines: int, seeds: range, surging: str, is_shared: bool
) -> Outcomes:
    """Return the outcomes of tier 2 over several seeds."""
    sums = Outcomes()
    for seed in seeds:
        replay = OrganisationReplay(
            entries=entries,
            engines=engines,
            seed=seed,
            surging=surging,
            is_shared=is_shared,
        )
        sums.add(replay.outcomes())
    return sums


@click.command()
@click.option("--seeds", default=3, help="Replays that are summed up.")
@click.option("--engines", default=ENGINES)
@click.option("--entries", default=20)
@click.option("--surging", default="org-1", help="The organisation that surges.")
def main(*, seeds: int, engines: int, entries: int, surging: str) -> None:
    """Print by organisation which part of tier 2 was in time, and which was rejected.

    "Before" is without rates: the decisions are then those without shares.
    """
    modes = {"usual, before": ("", False), "usual, after": ("", True)}
    modes |= {"surge, before": (surging, False), "surge, after": (surging, True)}
    results = {
        mode: replayed(
            entries=entries,
            engines=engines,
            seeds=range(1, seeds + 1),
            surging=name,
            is_shared=is_shared,
        )
        for mode, (name, is_shared) in modes.items()
    }
    click.echo("| organisation | sent | " + " | ".join(results) + " |")
    click.echo("|---" * (2 + len(results)) + "|")
    for name in load_shares():
        cells = [
            f"{result.in_time[name] / max(result.sent[name], 1):.3f} "
            f"{result.refused[name] / max(result.sent[name], 1):.3f}"
            for result in results.values()
        ]
        sent = results["surge, before"].sent[name]
        click.echo(f"| {name} | {sent} | " + " | ".join(cells) + " |")
    sums = [result.without(surging) for result in results.values()]
    cells = [f"{in_time / sent:.3f}" for sent, in_time in sums]
    click.echo(f"| all but {surging} | {sums[0][0]} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
