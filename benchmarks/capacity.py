"""Measures how costs grow, for docs/CAPACITY.md: of the cores alone and of processes."""

from __future__ import annotations

from dockreach import _green

_green.install(with_asyncio=False)

import json  # noqa: E402
import time  # noqa: E402
import tracemalloc  # noqa: E402
from collections.abc import Callable, Sequence  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import NamedTuple  # noqa: E402

import click  # noqa: E402

from dockreach import agent, entry  # noqa: E402
from dockreach.agent_tables import (  # noqa: E402
    AgentPolicy,
    AgentWorld,
    ClaimRow,
    PeerUp,
)
from dockreach.capacity import EngineModel  # noqa: E402
from dockreach.config_store import ConfigStore  # noqa: E402
from dockreach.declarations import Declarations, content_hash, parse  # noqa: E402
from dockreach.entry_tables import Admit, AgentUp, Configured, EntryWorld  # noqa: E402
from dockreach.launching import (  # noqa: E402
    Deployment,
    EndpointSpec,
    FleetSpec,
    OrganisationSpec,
    Process,
    wait_until,
)
from dockreach.limits import LimitTable  # noqa: E402
from dockreach.messages import ClaimState, Hold, Withdraw, encode  # noqa: E402
from dockreach.prefix import PrefixIndex  # noqa: E402

RESULTS = Path("docs/results")
IDLE_MEASUREMENT_S = 8.0
SETTLE_S = 5.0
"""Time for a new fleet to settle: on start, key owners ask their peers for claims."""

CALLS_PER_MEAN = 300


class Line(NamedTuple):
    """A measured cost, the variable it grows with, and the line that was fitted.

    Attributes:
        base: Value of the line where the variable is 0.
        slope: Increase for each unit of the variable.
        fit: Coefficient of determination (R squared) of the line.
    """

    what: str
    unit: str
    variable: str
    points: list[tuple[float, float]]
    base: float
    slope: float
    fit: float


def fit_line(
    what: str, unit: str, variable: str, points: Sequence[tuple[float, float]]
) -> Line:
    """Fit a line to measured points by least squares."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - slope * mean_x
    residual = sum((y - base - slope * x) ** 2 for x, y in points)
    total = sum((y - mean_y) ** 2 for _, y in points)
    fit = 1.0 if total == 0 else 1 - residual / total
    return Line(what, unit, variable, list(points), base, slope, fit)


def worker_fleet(endpoints: int, entries: int = 1, organisations: int = 2) -> FleetSpec:
    """Return a fleet of plain workers; only their agents and entries are measured."""
    return FleetSpec(
        endpoints=[
            EndpointSpec(f"w{index}", "p", kind="service") for index in range(endpoints)
        ],
        organisations=[
            OrganisationSpec(f"o{index}", "bulletin, lookup")
            for index in range(organisations)
        ],
        entries=[(f"n{index}", "hall1") for index in range(entries)],
        services={"s": "pool=p"},
    )


def worker_declarations(endpoints: int, organisations: int) -> Declarations:
    """Return the declarations of a fleet of plain workers."""
    return parse(worker_fleet(endpoints, 1, organisations).declarations(1))


def new_entry_world(agents: int) -> EntryWorld:
    """Return the core of an entry that is linked to a number of agents."""
    declarations = worker_declarations(agents, 2)
    world = EntryWorld("n0", 1, declarations, LimitTable("n0", started=-100.0))
    inbox: list[tuple[str, object]] = [("", Configured(declarations))]
    inbox += [(f"w{index}", AgentUp("hall1", 1)) for index in range(agents)]
    entry.tick(world, inbox, 0.0)
    return world


def waiting_request(number: int) -> Admit:
    """Return a small request with a deadline so late that it keeps waiting."""
    return Admit(
        rid=f"r{number}",
        organisation="o0",
        tier=0,
        pool="p",
        deadline_s=1e6,
        prompt_tokens=100,
        output_tokens=100,
        blocks=(1, 2, 3),
        method="POST",
        path="/",
        body=b"x" * 500,
        content_type="application/json",
        stream=True,
    )


def _best_mean_us(work: Callable[[int], None]) -> float:
    """Return the lowest of three mean times of a call, in microseconds."""
    best = float("inf")
    for repetition in range(3):
        start = time.perf_counter()
        for index in range(CALLS_PER_MEAN):
            work(repetition * CALLS_PER_MEAN + index)
        best = min(best, (time.perf_counter() - start) / CALLS_PER_MEAN)
    return 1e6 * best


def entry_tick_us(waiting: int) -> float:
    """Return the time of a tick that admits one request while others wait."""
    world = new_entry_world(8)
    entry.tick(world, [("", waiting_request(index)) for index in range(waiting)], 0.1)
    base = 1_000_000

    def work(index: int) -> None:
        entry.tick(world, [("", waiting_request(base + index))], 0.2)

    return _best_mean_us(work)


def new_agent_world(organisations: int, holds: int) -> AgentWorld:
    """Return the core of an agent that has holds queued and no capacity for them."""
    model = EngineModel(8, 4000.0, 0.02, 0.039)
    world = AgentWorld("w0", 1, model, PrefixIndex(1000), AgentPolicy(queue_limit=10**6))
    model.window = 0.0
    model.adjusted_at = 1e9
    inbox: list[tuple[str, object]] = [("n0", PeerUp("entry", 1))]
    inbox += [("n0", _hold(index, organisations)) for index in range(holds)]
    agent.tick(world, inbox, 0.1)
    return world


def _hold(number: int, organisations: int) -> Hold:
    name = f"o{number % organisations}"
    return Hold(f"r{number}", name, number % 3, 10**9, 100, 100, 1.0, (1, 2, 3))


def agent_tick_us(organisations: int, holds: int) -> float:
    """Return the time to queue a hold, grant one, and withdraw the grant: two ticks."""
    world = new_agent_world(organisations, holds)
    base = 10_000_000

    def work(index: int) -> None:
        hold = _hold(base + index, organisations)
        world.model.window = 1.0
        agent.tick(world, [("n0", hold)], 0.2)
        world.model.window = 0.0
        granted = [("n0", Withdraw(rid)) for rid in world.grants]
        agent.tick(world, granted, 0.2)

    return _best_mean_us(work)


def _bytes_per_item(make: Callable[[], object], count: int) -> float:
    tracemalloc.start()
    items = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del items
    return size / count


def claims_bytes(count: int) -> float:
    """Return the memory of one claim at its owner."""

    def make() -> object:
        return {
            f"k-{index:032x}": ClaimRow(
                ClaimState(index, f"w{index % 9}", 1, "0123456789abcdef"), "n0", 1.0
            )
            for index in range(count)
        }

    return _bytes_per_item(make, count)


def waiting_bytes(count: int) -> float:
    """Return the memory of one waiting request at its entry, with a 500-byte body."""

    def make() -> object:
        world = new_entry_world(8)
        entry.tick(world, [("", waiting_request(index)) for index in range(count)], 0.1)
        return world

    return _bytes_per_item(make, count)


def config_cost(endpoints: int, organisations: int) -> tuple[float, int, int]:
    """Return the validation time in ms, the bytes of all, and the bytes of one change."""
    spec = worker_fleet(endpoints, 1, organisations)
    body = spec.declarations(1)
    start = time.perf_counter()
    parse(body)
    content_hash(body)
    millis = 1000 * (time.perf_counter() - start)
    store = ConfigStore()
    store.accept(body, "a")
    changed = spec.declarations(2).replace("gap_ms=20.0", "gap_ms=21.0", 1)
    store.accept(changed, "a")
    delta = store.on_ask(1)
    return millis, len(body), len(encode([delta])) if delta else 0


class Cost(NamedTuple):
    """Resources that one idle daemon uses."""

    peers: float
    cores: float
    megabytes: float
    bytes_per_s: float


def measure_idle(deployment: Deployment, processes: Sequence[Process]) -> Cost:
    """Measure idle daemons for ``IDLE_MEASUREMENT_S`` and return their mean costs."""
    names = (
        "dockreach_cpu_seconds_total",
        "dockreach_link_sent_bytes_total",
        "dockreach_link_received_bytes_total",
    )

    def read() -> list[list[float]]:
        return [[deployment.metric(row, name) for name in names] for row in processes]

    _green.sleep(SETTLE_S)
    before = read()
    _green.sleep(IDLE_MEASUREMENT_S)
    after = read()
    used = [
        [new - old for new, old in zip(*pair, strict=True)]
        for pair in zip(after, before, strict=True)
    ]
    count = len(processes)
    resident = sum(deployment.metric(row, "dockreach_resident_bytes") for row in processes)
    peers = sum(deployment.metric(row, "dockreach_peers") for row in processes)
    return Cost(
        peers / count,
        sum(row[0] for row in used) / count / IDLE_MEASUREMENT_S,
        resident / count / 1e6,
        sum(row[1] + row[2] for row in used) / count / IDLE_MEASUREMENT_S,
    )


def propagation_s(deployment: Deployment) -> float:
    """Return the time from publishing a revision until every daemon has applied it."""
    deployment.revision += 1
    start = time.monotonic()
    deployment.publish()
    wanted = deployment.revision
    for process in [*deployment.entries.values(), *deployment.agents.values()]:
        wait_until(
            lambda process=process: _applied_revision(process) >= wanted, f"{process.name}"
        )
    return time.monotonic() - start


def _applied_revision(process: Process) -> int:
    rows = [row for row in process.events() if row.get("event") == 300]
    return int(rows[-1]["revision"]) if rows else 0


def measure_cores() -> list[Line]:
    """Measure the cores alone, without processes."""
    waits = (100, 1000, 10_000)
    holds = (100, 1000, 10_000)
    orgs = (2, 40, 320)
    sizes = ((100, 40), (400, 100), (1200, 320))
    config = [config_cost(*size) for size in sizes]
    counts = [float(sum(size)) for size in sizes]
    return [
        fit_line(
            "entry tick, one admitted",
            "us",
            "waiting requests",
            _sweep(entry_tick_us, waits),
        ),
        fit_line(
            "agent tick, one granted",
            "us",
            "queued holds",
            _sweep(lambda count: agent_tick_us(5, count), holds),
        ),
        fit_line(
            "agent tick, one granted",
            "us",
            "organisations",
            _sweep(lambda count: agent_tick_us(count, 2000), orgs),
        ),
        fit_line(
            "claim at its owner", "bytes", "claims", _sweep(claims_bytes, (1000, 9000))
        ),
        fit_line(
            "waiting request", "bytes", "requests", _sweep(waiting_bytes, (1000, 4000))
        ),
        fit_line(
            "validating declarations",
            "ms",
            "sections",
            [(count, row[0]) for count, row in zip(counts, config, strict=True)],
        ),
        fit_line(
            "whole declarations",
            "bytes",
            "sections",
            [(count, float(row[1])) for count, row in zip(counts, config, strict=True)],
        ),
        fit_line(
            "one change, as sent",
            "bytes",
            "sections",
            [(count, float(row[2])) for count, row in zip(counts, config, strict=True)],
        ),
    ]


def _sweep(
    work: Callable[[int], float], values: Sequence[int]
) -> list[tuple[float, float]]:
    return [(float(value), work(value)) for value in values]


def measure_processes(agents: Sequence[int], entries: Sequence[int]) -> list[Line]:
    """Measure idle daemons and the propagation of a revision, with real processes."""
    entry_costs, propagation = [], []
    for count in agents:
        with Deployment(worker_fleet(count, 2)) as deployment:
            entry_costs.append(measure_idle(deployment, list(deployment.entries.values())))
            propagation.append((float(count + 2), propagation_s(deployment)))
        click.echo(
            f"{count} agents: {entry_costs[-1]}, propagation {propagation[-1][1]:.2f} s"
        )
    agent_costs = []
    for count in entries:
        with Deployment(worker_fleet(4, count)) as deployment:
            agent_costs.append(measure_idle(deployment, list(deployment.agents.values())))
        click.echo(f"{count} entries: {agent_costs[-1]}")
    lines = [fit_line("revision in force everywhere", "s", "daemons", propagation)]
    for role, costs in (("entry", entry_costs), ("agent", agent_costs)):
        for name, unit in (
            ("cores", "cores"),
            ("megabytes", "MB"),
            ("bytes_per_s", "B/s"),
        ):
            points = [(cost.peers, float(getattr(cost, name))) for cost in costs]
            lines.append(fit_line(f"idle {role}", unit, "peers", points))
    return lines


def table(lines: Sequence[Line]) -> str:
    """Return the lines as a Markdown table."""
    header = "| what | unit | variable | points | at 0 | slope | R2 |"
    rows = [header, "|---|---|---|---|---|---|---|"]
    for row in lines:
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in row.points)
        rows.append(
            f"| {row.what} | {row.unit} | {row.variable} | {points} "
            f"| {row.base:.4g} | {row.slope:.3g} | {row.fit:.2f} |"
        )
    return "\n".join(rows) + "\n"


def plot(lines: Sequence[Line]) -> None:
    """Plot the points of each sweep with the fitted line."""
    import matplotlib as mpl  # noqa: PLC0415

    mpl.use("Agg")
    from matplotlib import pyplot as plt  # noqa: PLC0415

    width = 4
    height = (len(lines) + width - 1) // width
    figure, axes = plt.subplots(height, width, figsize=(16, 3 * height))
    for axis, row in zip(axes.flat, lines, strict=False):
        xs = [x for x, _ in row.points]
        axis.plot(xs, [y for _, y in row.points], "o")
        axis.plot(xs, [row.base + row.slope * x for x in xs], "-")
        axis.set_title(f"{row.what}, {row.unit}", fontsize=9)
        axis.set_xlabel(row.variable, fontsize=8)
        axis.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(RESULTS / "capacity.png", dpi=80)


@click.command()
@click.option("--keep", is_flag=True, help="Write the results under docs/results.")
@click.option("--core-only", is_flag=True, help="Leave out the sweeps over processes.")
def main(keep: bool, core_only: bool) -> None:
    """Measure all costs and print the fitted lines."""
    lines = measure_cores()
    if not core_only:
        lines += measure_processes((8, 24, 48), (2, 6, 12))
    click.echo(table(lines))
    if keep:
        RESULTS.mkdir(parents=True, exist_ok=True)
        raw = json.dumps([row._asdict() for row in lines], indent=1)
        (RESULTS / "capacity.json").write_text(raw + "\n")
        (RESULTS / "capacity.md").write_text(table(lines))
        plot(lines)


if __name__ == "__main__":
    main()
