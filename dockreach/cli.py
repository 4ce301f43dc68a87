"""``dockreach``: the command-line tool for operators.

Queries can be sent to any entry. Configuration is changed by editing the declarations file,
which the platform then publishes; no command changes it in the running fleet.
"""

from __future__ import annotations

import time
from itertools import chain
from pathlib import Path
from typing import Any, TextIO

import click
import msgspec
import urllib3
from rich.console import Console
from rich.table import Table

from . import __version__, editing
from .burn import BurnRow, burn_rows, format_window, render_html
from .cli_exit import EXIT_UNREACHABLE, exit_with_error
from .cli_worth import worth_command
from .declarations import Declarations, content_hash, key_hash, parse
from .errors import DockreachError
from .query import Row, column_names
from .request_timeline import build_timeline, parse_lines

REQUEST_TIMEOUT_S = 10.0

_entry_option = click.option(
    "--entry",
    envvar="DOCKREACH_ENTRY",
    default="http://127.0.0.1:8080",
    show_default=True,
    help="Address of any entry.",
)
_key_option = click.option(
    "--key", envvar="DOCKREACH_OPERATOR_KEY", default="", help="The operators' key."
)
_file_option = click.option(
    "--file",
    "path",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    default="fleet.ini",
    show_default=True,
    help="The declarations file.",
)
_json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


class _QueryAnswer(msgspec.Struct):
    """Response to a query; see `dockreach.operator_api.QueryAnswer`."""

    rows: list[Row]
    silent: list[str]


@click.group()
@click.version_option(__version__, prog_name="dockreach")
def main() -> None:
    """Query what is running, where and why, and change the configuration."""


def _post(entry: str, key: str, path: str, body: dict[str, str]) -> bytes:
    try:
        response = urllib3.request(
            "POST",
            entry + path,
            body=msgspec.json.encode(body),
            headers={"Authorization": f"Bearer {key}"},
            timeout=REQUEST_TIMEOUT_S,
            retries=False,
        )
    except (urllib3.exceptions.HTTPError, OSError) as exc:
        exit_with_error(f"{entry} does not answer: {exc}", EXIT_UNREACHABLE)
    if response.status != 200:
        exit_with_error(
            msgspec.json.decode(response.data).get("error", f"status {response.status}")
        )
    return response.data


def _run_query(entry: str, key: str, text: str) -> _QueryAnswer:
    data = _post(entry, key, "/operators/query", {"query": text})
    return msgspec.json.decode(data, type=_QueryAnswer)


def _print_answer(answer: _QueryAnswer, *, as_json: bool) -> None:
    if as_json:
        click.echo(msgspec.json.encode(answer).decode())
        return
    console = Console()
    table = Table()
    names = column_names(answer.rows)
    for name in names:
        table.add_column(name)
    for row in answer.rows:
        table.add_row(*("" if row.get(name) is None else str(row[name]) for name in names))
    if answer.rows:
        console.print(table)
    else:
        console.print("no rows")
    if answer.silent:
        console.print(f"no answer from: {', '.join(answer.silent)}")


@main.command()
@click.argument("text")
@_entry_option
@_key_option
@_json_option
@click.option("--watch", type=float, help="Repeat the query at this interval, in seconds.")
def query(text: str, entry: str, key: str, as_json: bool, watch: float | None) -> None:
    """Run a query, such as "requests where state=waiting"."""
    while True:
        _print_answer(_run_query(entry, key, text), as_json=as_json)
        if watch is None:
            return
        time.sleep(watch)


@main.command()
@click.argument("request")
@_entry_option
@_key_option
@_json_option
def why(request: str, entry: str, key: str, as_json: bool) -> None:
    """Show every decision about a request and its reason, in order of time."""
    _print_answer(_run_query(entry, key, f"why {request}"), as_json=as_json)


@main.command(name="story")
@click.argument("request")
@click.argument("logs", nargs=-1, required=True, type=click.File())
@click.option(
    "--before", default=3.0, show_default=True, help="Seconds to show before its arrival."
)
def story_command(request: str, logs: tuple[TextIO, ...], before: float) -> None:
    """Show from daemons' logs what happened to a request."""
    lines = build_timeline(parse_lines(chain(*logs)), request, before_s=before)
    if not lines:
        exit_with_error(f"no log line about {request}")
    for line in lines:
        click.echo(line)


@main.command()
@click.argument("request")
@_entry_option
@_key_option
def cancel(request: str, entry: str, key: str) -> None:
    """Cancel a request at the entry that received it."""
    _post(entry, key, "/operators/cancel", {"request": request})
    click.echo(f"{request}: cancelled")


@main.command()
@click.argument("path", type=click.Path(path_type=Path))
def check(path: Path) -> None:
    """Check a declarations file."""
    declarations = _read_declarations(path)[1]
    digest = content_hash(path.read_text())
    click.echo(f"{path}: revision {declarations.revision} is valid, hash {digest}")


@main.command()
@click.argument("before", type=click.Path(path_type=Path))
@click.argument("after", type=click.Path(path_type=Path))
def diff(before: Path, after: Path) -> None:
    """Show the difference between two declarations files, and check both."""
    old, new = _read_declarations(before), _read_declarations(after)
    click.echo(editing.unified_diff(old[0], new[0], after.name))
    if new[1].revision <= old[1].revision and old[0] != new[0]:
        exit_with_error(f"revision {new[1].revision} is not above {old[1].revision}")


def _read_declarations(path: Path) -> tuple[str, Declarations]:
    try:
        body = path.read_text()
        return body, parse(body, path.name)
    except (OSError, UnicodeDecodeError) as exc:
        exit_with_error(f"{path}: {exc}")
    except DockreachError as exc:
        exit_with_error(str(exc))


def _change_values(
    path: Path, changes: list[tuple[str, str, str]], entry: str, key: str
) -> None:
    """Set values, increment the revision, write the file and print what to publish."""
    original = _read_declarations(path)[0]
    try:
        body = original
        for section, name, value in changes:
            body = editing.set_value(body, section, name, value)
        _write_change(path, original, body, entry, key)
    except DockreachError as exc:
        exit_with_error(str(exc))


def _write_change(path: Path, original: str, body: str, entry: str, key: str) -> None:
    """Write an edited file with the next revision, and print the difference."""
    changed = editing.increment_revision(body, path.name)
    current_revision = _current_revision(entry, key) if key else 0
    declarations = editing.write(path, original, changed, current_revision)
    click.echo(editing.unified_diff(original, changed, path.name))
    click.echo(f"publish {path}: revision {declarations.revision}")


def _current_revision(entry: str, key: str) -> int:
    """Return the highest revision that a reachable daemon has applied."""
    rows = _run_query(entry, key, "config").rows
    return max((int(row["revision"] or 0) for row in rows), default=0)


@main.command(name="set")
@click.argument("section")
@click.argument("assignment")
@_file_option
@_entry_option
@_key_option
def set_command(section: str, assignment: str, path: Path, entry: str, key: str) -> None:
    """Set KEY=VALUE in a section, such as "tier bulletin" deadline_s=10."""
    name, equals, value = assignment.partition("=")
    if not equals:
        exit_with_error("write KEY=VALUE")
    _change_values(path, [(section, name.strip(), value.strip())], entry, key)


@main.command()
@click.argument("endpoint")
@_file_option
@_entry_option
@_key_option
def drain(endpoint: str, path: Path, entry: str, key: str) -> None:
    """Stop sending new requests to an endpoint."""
    _change_values(path, [(f"endpoint {endpoint}", "drained", "yes")], entry, key)


@main.command()
@click.argument("endpoint")
@_file_option
@_entry_option
@_key_option
def undrain(endpoint: str, path: Path, entry: str, key: str) -> None:
    """Send new requests to a drained endpoint again."""
    _change_values(path, [(f"endpoint {endpoint}", "drained", "no")], entry, key)


@main.group()
def org() -> None:
    """Add and change organisations."""


@org.command()
@click.argument("name")
@click.option("--tiers", required=True, help="Tiers that it may use, the default first.")
@click.option("--share", default=1.0, show_default=True, help="Weight within a tier.")
@click.password_option("--org-key", help="Its key; only the hash is stored.")
@_file_option
@_entry_option
@_key_option
def add(
    name: str, tiers: str, share: float, org_key: str, path: Path, entry: str, key: str
) -> None:
    """Add an organisation."""
    original = _read_declarations(path)[0]
    values = {"key_sha256": key_hash(org_key), "tiers": tiers, "share": str(share)}
    try:
        body = editing.add_section(original, f"organisation {name}", values)
        _write_change(path, original, body, entry, key)
    except DockreachError as exc:
        exit_with_error(str(exc))


@main.group()
def report() -> None:
    """Print reports."""


report.add_command(worth_command)


@report.command(name="burn")
@_file_option
@_entry_option
@_key_option
@_json_option
@click.option(
    "--html", "html_path", type=click.Path(path_type=Path), help="Write an HTML page."
)
def burn_command(
    path: Path, entry: str, key: str, as_json: bool, html_path: Path | None
) -> None:
    """Report how fast each tier uses up its error budget."""
    declarations = _read_declarations(path)[1]
    answer = _run_query(entry, key, "burn")
    objectives = {name: tier.objective for name, tier in declarations.tiers.items()}
    rows = burn_rows(answer.rows, objectives, len(declarations.fleet.entry_names))
    if html_path is not None:
        html_path.write_text(render_html(rows))
    if as_json:
        click.echo(msgspec.json.encode([row._asdict() for row in rows]).decode())
        return
    Console().print(_burn_table(rows))
    if answer.silent:
        click.echo(f"no answer from: {', '.join(answer.silent)}")


def _burn_table(rows: list[BurnRow]) -> Table:
    table = Table(title="service-level burn")
    for name in ("tier", "organisation", "window", "objective", "good", "total"):
        table.add_column(name)
    for name in ("burn rate", "budget left", "covered"):
        table.add_column(name, justify="right")
    for row in rows:
        covered = f"{row.covered:.0%}" if row.covered > 0.99 else f"{row.covered:.0%} (gap)"
        cells: list[Any] = [row.tier, row.organisation, format_window(row.window_s)]
        cells += [f"{row.objective:.1%}", str(row.good), str(row.total)]
        cells += [f"{row.burn_rate:.2f}", f"{row.budget_left:.0%}", covered]
        table.add_row(*cells)
    return table


if __name__ == "__main__":
    main()
