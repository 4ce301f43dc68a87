"""Starts entries as the deploy file does, and tells what the platform sees of them."""

from __future__ import annotations

import json
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]

FRONT, READY, CONTROL, FIRST_PORT = 8221, 8224, 8229, 7600
"""Ports are alike on all machines of a day; each machine has a loopback address."""

BOUNDS = {
    "seed_lag_s": 3,
    "reuse_delay_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "sync_s": 4,
    "drain_timeout_ms": 2000,
    "grace_period_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "strict_revoke": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_burst": 58,
    "quota_window_s": 8,
    "quota_over": 0.25,
    "quota_slack": 72000,
    "recover_s": 12,
    "pass_ms": 120,
    "again_s": 6.8,
}
"""The bounds of catastra-valnorte, as its sheet gives them."""

ZONES = ("bilbao-a", "vitoria-b", "santander-c")
MEMORY_MB = 150


@dataclass(slots=True)
class Entry:
    """One machine with one entry process.

    Attributes:
        name: Name of the machine.
        ip: Its loopback address.
        ended: Exit codes of processes that ended without having been stopped by the case.
    """

    name: str
    ip: str
    zone: str
    fields: dict[str, Any]
    folder: Path
    process: subprocess.Popen[bytes] | None = None
    ended: list[int] = field(default_factory=list)

    @property
    def front(self) -> tuple[str, int]:
        """Where requesters connect."""
        return self.ip, FRONT

    @property
    def rss_mb(self) -> float:
        """Memory that the process holds, in MB; 0 if it does not run."""
        if self.process is None or self.process.poll() is not None:
            return 0.0
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found[1]) / 1000 if found else 0.0

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"][
            "entry"
        ]
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.fields))
        kept = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env={
                    **kept,
                    **role["env"],
                    "DOCKREACH_CONFIG": str(path),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                },
                stdout=log,
                stderr=log,
            )

    def stop(self) -> None:
        """Kill the process, if it runs."""
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.process = None


def reserve_net() -> str:
    """Return the first three bytes of loopback addresses whose ports are free."""
    for _ in range(50):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for port in (FRONT, READY, FIRST_PORT, 9464):
                with socket.socket() as sock:
                    sock.bind((f"{net}.11", port))
        except OSError:
            continue
        return net
    raise OSError("no loopback addresses are free")


def make_entries(
    net: str,
    stores: list[str],
    zones: tuple[str, ...] = ZONES,
    region: str = "norte",
    bounds: dict[str, Any] | None = None,
) -> list[Entry]:
    """Return entries of a small deployment, which are not started yet.

    Args:
        net: First three bytes of their addresses.
        stores: The store's address for each entry.
        zones: Their zones, in turn.
        region: The region of these zones.
        bounds: Bounds that differ from those of catastra-valnorte.
    """
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    ips = [f"{net}.{11 + number}" for number in range(len(stores))]
    entries = []
    for number, ip in enumerate(ips):
        zone = zones[number % len(zones)]
        fields = {
            "node_name": f"front-{zone}-{number + 1}",
            "role": "entry",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": ip,
            "zone": zone,
            "region": region,
            "zones": dict.fromkeys(zones, region),
            "listen_addrs": {
                "front": f"{ip}:{FRONT}",
                "ready": f"{ip}:{READY}",
                "control": f"{ip}:{CONTROL}",
            },
            "port_range": [FIRST_PORT, FIRST_PORT + 15],
            "seeds": [f"{seed}:{CONTROL}" for seed in ips[:3]],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.817,
                "vcpus": 1,
                "memory_mb": MEMORY_MB,
                "max_fds": 4100,
                "bandwidth_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "policies": ["base", "drain", "config", "stream", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {**BOUNDS, **(bounds or {})},
            "platform": {
                "address": stores[number],
                "form": "read",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }
        entries.append(Entry(f"front-{number + 1}", ip, zone, fields, folder))
    return entries


def route(name: str, service: str, kind: str, **fields: object) -> dict[str, Any]:
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": "desk.example",
        "path_prefix": f"/{name}/",
        "type": kind,
        "service": service,
        "public": True,
        "priority": 1,
        "max_attempts": 1,
        **fields,
    }


def operator_config(routes: list[dict[str, Any]], services: list[str]) -> dict[str, Any]:
    """Return the operator's configuration."""
    return {
        "version": 7,
        "routes": routes,
        "services": [{"name": name, "max_connections": 600} for name in services],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 10000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [],
    }


def now() -> float:
    """Return the monotonic time, in seconds."""
    return time.monotonic()
