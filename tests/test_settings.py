"""Validation of settings files, and what the errors report."""

from pathlib import Path

import pytest

from dockreach.declarations import parse as parse_declarations
from dockreach.errors import SettingsError
from dockreach.settings import load, parse

EXAMPLES = Path(__file__).parent.parent / "examples"


@pytest.mark.parametrize("name", ["entry.ini", "agent.ini"])
def test_example_settings_are_valid(name: str) -> None:
    assert load(str(EXAMPLES / name)).daemon.hall == "hall1"


def test_example_declarations_are_valid() -> None:
    declarations = parse_declarations((EXAMPLES / "fleet.ini").read_text())
    assert declarations.organisation_of("assessors-key") == "assessors"


@pytest.mark.parametrize(
    ("old", "new", "section", "key"),
    [
        ("role = entry", "role = king", "daemon", "role"),
        ("127.0.0.1:8080", "localhost:8080", "listen", "http"),
        ("127.0.0.1:8080", "127.0.0.256:8080", "listen", "http"),
        ("127.0.0.1:8080", "127.0.0.1:65536", "listen", "http"),
        ("127.0.0.1:8080", "127.0.0.1:8\u0660", "listen", "http"),
        ("retention_s = 600", "retention_s = 0", "limits", "retention_s"),
        ("retention_s = 600", "retention = 1", "limits", "retention"),
        ("[limits]", "[limit]", "limit", ""),
        ("role = entry", "role = agent", "engine", "url"),
    ],
)
def test_error_reports_section_and_key(old: str, new: str, section: str, key: str) -> None:
    text = (EXAMPLES / "entry.ini").read_text()
    with pytest.raises(SettingsError) as error:
        parse(text.replace(old, new), "entry.ini")
    assert (error.value.section, error.value.key) == (section, key)


def test_missing_file_is_reported() -> None:
    with pytest.raises(SettingsError, match="cannot be read"):
        load("no-such-file.ini")
