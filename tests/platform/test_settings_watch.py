"""Changes of the settings file while a daemon runs."""

from __future__ import annotations

from pathlib import Path

import pytest

from dockreach.direct.digest import Address
from dockreach.direct.entry import Entry
from dockreach_platform.headers import PlatformDialect
from dockreach_platform.settings import PlatformSettings, mark_of
from dockreach_platform.settings_watch import SettingsWatch
from tests.direct.standins import entry_settings

from .test_platform_settings import fields, written


@pytest.fixture(name="taken")
def _taken() -> list[PlatformSettings]:
    return []


def test_a_changed_file_is_read_without_a_signal(
    tmp_path: Path, taken: list[PlatformSettings]
) -> None:
    path = written(tmp_path, fields())
    watch = SettingsWatch(path, taken.append, mark_of(path))
    watch.look()
    assert taken == []
    written(tmp_path, {**fields(), "seeds": []})
    watch.look()
    assert [settings.seeds for settings in taken] == [[]]


def test_a_change_between_the_first_reading_and_the_first_look_is_read(
    tmp_path: Path, taken: list[PlatformSettings]
) -> None:
    path = written(tmp_path, fields())
    mark = mark_of(path)
    written(tmp_path, {**fields(), "seeds": []})
    SettingsWatch(path, taken.append, mark).look()
    assert [settings.seeds for settings in taken] == [[]]


def test_a_signal_has_it_read_even_if_nothing_seems_changed(
    tmp_path: Path, taken: list[PlatformSettings]
) -> None:
    path = written(tmp_path, fields())
    watch = SettingsWatch(path, taken.append, mark_of(path))
    watch.look_soon()
    watch.look()
    watch.look()
    assert len(taken) == 1


@pytest.mark.parametrize("content", ["{", "{}", ""])
def test_a_file_that_is_not_valid_changes_nothing(
    tmp_path: Path, taken: list[PlatformSettings], content: str
) -> None:
    path = written(tmp_path, fields())
    watch = SettingsWatch(path, taken.append, mark_of(path))
    Path(path).write_text(content)
    watch.look()
    assert taken == []


def test_a_file_that_is_away_for_a_moment_changes_nothing(
    tmp_path: Path, taken: list[PlatformSettings]
) -> None:
    path = written(tmp_path, fields())
    watch = SettingsWatch(path, taken.append, mark_of(path))
    Path(path).unlink()
    watch.look()
    assert taken == []
    written(tmp_path, fields())
    watch.look()
    assert len(taken) == 1


def test_new_settings_are_in_force_and_addresses_stay(tmp_path: Path) -> None:
    entry = Entry(entry_settings(), PlatformDialect())
    callers = entry.settings.callers
    path = written(tmp_path, fields())
    new = SettingsWatch(
        path, lambda found: entry.apply(found.entry(None, "")), mark_of(path)
    )
    new.look_soon()
    new.look()
    assert entry.settings.callers == callers
    assert entry.ctx.retries.policy.burst == 58
    assert Address("10.2.0.17", 7600) in entry.peers.targets()
