"""Reloading the settings file while an entry runs."""

from __future__ import annotations

from pathlib import Path

import pytest

from dockreach.direct.digest import Address
from dockreach.direct.entry import Entry
from dockreach_platform.headers import PlatformAdapter
from dockreach_platform.settings import PlatformSettings, file_version
from dockreach_platform.settings_watcher import SettingsWatcher
from tests.direct.standins import entry_settings

from .test_platform_settings import settings_fields, write_settings


@pytest.fixture(name="applied")
def _applied() -> list[PlatformSettings]:
    return []


def test_a_changed_file_is_reloaded_without_a_signal(
    tmp_path: Path, applied: list[PlatformSettings]
) -> None:
    path = write_settings(tmp_path, settings_fields())
    watcher = SettingsWatcher(path, applied.append, file_version(path))
    watcher.reload_if_changed()
    assert applied == []
    write_settings(tmp_path, {**settings_fields(), "seeds": []})
    watcher.reload_if_changed()
    assert [settings.seeds for settings in applied] == [[]]


def test_a_change_between_startup_and_the_first_check_is_reloaded(
    tmp_path: Path, applied: list[PlatformSettings]
) -> None:
    path = write_settings(tmp_path, settings_fields())
    version = file_version(path)
    write_settings(tmp_path, {**settings_fields(), "seeds": []})
    SettingsWatcher(path, applied.append, version).reload_if_changed()
    assert [settings.seeds for settings in applied] == [[]]


def test_a_requested_reload_happens_once_even_without_a_change(
    tmp_path: Path, applied: list[PlatformSettings]
) -> None:
    path = write_settings(tmp_path, settings_fields())
    watcher = SettingsWatcher(path, applied.append, file_version(path))
    watcher.request_reload()
    watcher.reload_if_changed()
    watcher.reload_if_changed()
    assert len(applied) == 1


@pytest.mark.parametrize("content", ["{", "{}", ""])
def test_an_invalid_file_is_not_applied(
    tmp_path: Path, applied: list[PlatformSettings], content: str
) -> None:
    path = write_settings(tmp_path, settings_fields())
    watcher = SettingsWatcher(path, applied.append, file_version(path))
    Path(path).write_text(content)
    watcher.reload_if_changed()
    assert applied == []


def test_a_file_that_is_missing_for_a_moment_is_not_applied(
    tmp_path: Path, applied: list[PlatformSettings]
) -> None:
    path = write_settings(tmp_path, settings_fields())
    watcher = SettingsWatcher(path, applied.append, file_version(path))
    Path(path).unlink()
    watcher.reload_if_changed()
    assert applied == []
    write_settings(tmp_path, settings_fields())
    watcher.reload_if_changed()
    assert len(applied) == 1


def test_new_settings_are_applied_and_addresses_stay(tmp_path: Path) -> None:
    entry = Entry(entry_settings(), PlatformAdapter())
    callers = entry.settings.callers_address
    path = write_settings(tmp_path, settings_fields())
    watcher = SettingsWatcher(
        path,
        lambda new: entry.apply_settings(new.entry_settings(None, "")),
        file_version(path),
    )
    watcher.request_reload()
    watcher.reload_if_changed()
    assert entry.settings.callers_address == callers
    assert entry.ctx.retry_budget.policy.burst == 58
    assert Address("10.2.0.17", 7600) in entry.peers.targets()
