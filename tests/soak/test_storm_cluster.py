"""Storms of configurations keep the routes that callers may rely on."""

from __future__ import annotations

import base64
import json
from pathlib import Path

from .cluster import MAX_ADDED_ROUTES
from .entries import reserved_net
from .storm_cluster import StormCluster

VERSIONS = 3 * MAX_ADDED_ROUTES


# Storms that overlapped dropped a route before callers might know it: its 404 was right,
# and was reported as a refusal by an older configuration.
def test_a_storm_does_not_drop_a_route_that_must_be_in_force(tmp_path: Path) -> None:
    with reserved_net() as net:
        cluster = StormCluster(1, net, tmp_path, 1)
        try:
            for _ in range(VERSIONS):
                cluster.publish_configuration()
            item = cluster.store._items["op/config"]
            content = json.loads(base64.b64decode(item["value"]))
        finally:
            cluster.stop()
    names = {route["name"] for route in content["routes"]}
    assert {f"new-{number}" for number in range(1, VERSIONS + 1)} <= names
