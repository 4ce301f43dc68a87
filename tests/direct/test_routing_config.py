"""Selection of routes, services and organisations."""

from __future__ import annotations

from dockreach.direct.routing_config import ConfigRevision, RetryMode, Route, Split

from .standins import revision


def route(prefix: str, *splits: Split) -> Route:
    return Route(
        name=prefix,
        host="Tools.Example",
        prefix=prefix,
        retry_mode=RetryMode.NEVER,
        is_stream=False,
        timeout_s=1.0,
        objective_s=0.2,
        gap_objective_s=0.0,
        tier=0,
        max_attempts=1,
        is_public=False,
        splits=splits or (Split("work", 1.0),),
    )


def config_of(*routes: Route) -> ConfigRevision:
    return ConfigRevision(1, routes, {}, (), revision().limits)


def test_the_longest_prefix_of_the_host_wins() -> None:
    config = config_of(route("/a/"), route("/a/b/"), route("/"))
    assert config.match("tools.example", "/a/b/c") is config.routes[1]
    assert config.match("tools.example", "/a/bc") is config.routes[0]
    assert config.match("tools.example", "/x") is config.routes[2]
    assert config.match("other.example", "/a/") is None


def test_a_split_follows_the_weights_and_is_fixed_for_each_id() -> None:
    split = route("/a/", Split("big", 90.0), Split("small", 10.0))
    services = [split.service_for(f"r-{number}") for number in range(2000)]
    assert 120 < services.count("small") < 280
    assert services == [split.service_for(f"r-{number}") for number in range(2000)]


def test_an_api_key_identifies_its_organisation() -> None:
    assert revision().organisation_of("key-1") is not None
    assert revision().organisation_of("") is None
