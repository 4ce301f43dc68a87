"""Reloading the settings file while an entry runs."""

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


@pytest.fixture(name="applied")
def _applied() -> list[PlatformSettings]:
    return []


def test_a_changed_file_is_reloaded_without_a_signal(
    tmp_path: Path, applied: list[PlatformSettings]
) -> None:
    path = written(tmp_path, fields())
    watcher = SettingsWatch(path, applied.append, mark_of(path))
    watcher.look()
    assert applied == []
    written(tmp_path, {**fields(), "seeds": []})
    watcher.look()
    assert [settings.seeds for settings in applied] == [[]]


def test_a_change_between_startup_and_the_first_check_is_reloaded(
    tmp_path: Path, applied: list[PlatformSettings]
) -> None:
    path = written(tmp_path, fields())
    version = mark_of(path)
    written(tmp_path, {**fields(), "seeds": []})
    SettingsWatch(path, applied.append, version).look()
    assert [settings.seeds for settings in applied] == [[]]


def test_a_requested_reload_happens_once_even_without_a_change(
    tmp_path: Path, applied: list[PlatformSettings]
) -> None:
    path = written(tmp_path, fields())
    watcher = SettingsWatch(path, applied.append, mark_of(path))
    watcher.look_soon()
    watcher.look()
    watcher.look()
    assert len(applied) == 1


@pytest.mark.parametrize("content", ["{", "{}", ""])
def test_an_invalid_file_is_not_applied(
    tmp_path: Path, applied: list[PlatformSettings], content: str
) -> None:
    path = written(tmp_path, fields())
    watcher = SettingsWatch(path, applied.append, mark_of(path))
    Path(path).write_text(content)
    watcher.look()
    assert applied == []


def test_a_file_that_is_missing_for_a_moment_is_not_applied(
    tmp_path: Path, applied: list[PlatformSettings]
) -> None:
    path = written(tmp_path, fields())
    watcher = SettingsWatch(path, applied.append, mark_of(path))
    Path(path).unlink()
    watcher.look()
    assert applied == []
    written(tmp_path, fields())
    watcher.look()
    assert len(applied) == 1


def test_new_settings_are_applied_and_addresses_stay(tmp_path: Path) -> None:
    entry = Entry(entry_settings(), PlatformDialect())
    callers = entry.settings.callers
    path = written(tmp_path, fields())
    watcher = SettingsWatch(
        path, lambda new: entry.apply(new.entry(None, "")), mark_of(path)
    )
    watcher.look_soon()
    watcher.look()
    assert entry.settings.callers == callers
    assert entry.ctx.retries.policy.burst == 58
    assert Address("10.2.0.17", 7600) in entry.peers.targets()
