"""Records a session of operator commands against a small running fleet."""

from __future__ import annotations

from dockreach import _green

_green.install(with_asyncio=False)

import os  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402

import click  # noqa: E402

from dockreach.launching import OPERATOR_KEY, Deployment  # noqa: E402
from dockreach.load import LoadGenerator  # noqa: E402
from dockreach.profiles import small  # noqa: E402

RESULT = Path("docs/results/session.txt")
REQUESTS_PER_S = 14.0
LOAD_S = 14.0
WARM_UP_S = 5.0


def record(deployment: Deployment, directory: Path) -> list[str]:
    """Run the commands in sequence and return them with their output."""
    (directory / "fleet.ini").write_text(deployment.spec.declarations(1))
    entry_url = deployment.entries["entry1"].url
    lines: list[str] = []

    def run(*words: str) -> str:
        shown_command = " ".join(f'"{word}"' if " " in word else word for word in words)
        process = subprocess.Popen(  # noqa: S603
            [sys.executable, "-m", "dockreach.cli", *words],
            cwd=directory,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            env={
                **os.environ,
                "COLUMNS": "150",
                "DOCKREACH_ENTRY": entry_url,
                "DOCKREACH_OPERATOR_KEY": OPERATOR_KEY,
            },
        )
        output = process.communicate()[0].decode()
        lines.extend([f"$ dockreach {shown_command}", output.rstrip(), ""])
        return output

    run("query", "engines order by queue desc")
    run("query", "requests where state=waiting order by age desc limit 5")
    run("query", "requests where state=committed and tier=bulletin limit 3")
    run("query", "config")
    run("query", "orgs where entry=entry1")
    response = deployment.http.request(
        "POST",
        f"{entry_url}/operators/query",
        json={"query": "requests where state=committed limit 1"},
        headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
    ).json()
    if response["rows"]:
        run("why", response["rows"][0]["request"])
    run("drain", "engine3")
    run("check", "fleet.ini")
    run("report", "burn")
    run("query", "engines where")
    return lines


@click.command()
def main() -> None:
    """Record a session into docs/results/session.txt."""
    profile = small()
    with Deployment(profile.fleet) as deployment:
        urls = [row.url for row in deployment.entries.values()]
        load = LoadGenerator(urls, profile.kinds)
        load_task = _green.spawn(load.run, [(LOAD_S, REQUESTS_PER_S)])
        _green.sleep(WARM_UP_S)
        lines = record(deployment, deployment.directory)
        load_task.wait()
    RESULT.parent.mkdir(parents=True, exist_ok=True)
    RESULT.write_text("\n".join(lines))
    click.echo(RESULT.read_text())


if __name__ == "__main__":
    main()
