"""Validation of declarations, and what the errors report."""

import pytest

from dockreach.declarations import content_hash, key_hash, parse
from dockreach.errors import SettingsError

BODY = f"""\
[fleet]
revision = 3
entries = n0, n1
[tier bulletin]
rank = 0
[pool p]
[endpoint e]
pool = p
hall = h
[organisation remar]
key_sha256 = {key_hash("secret")}
tiers = bulletin
"""


def test_valid_declarations_are_parsed() -> None:
    declarations = parse(BODY)
    assert declarations.revision == 3
    assert declarations.organisation_of("secret") == "remar"
    assert declarations.organisation_of("guess") is None


@pytest.mark.parametrize(
    ("old", "new", "section", "key"),
    [
        ("rank = 0", "rank = -1", "tier bulletin", "rank"),
        ("hall = h", "hall = h\nslots = 0", "endpoint e", "slots"),
        ("hall = h", "hall = h\ncolour = red", "endpoint e", "colour"),
        ("pool = p\n", "pool = q\n", "endpoint e", "pool"),
        ("hall = h", "", "endpoint e", "hall"),
        ("tiers = bulletin", "tiers = lookup", "organisation remar", "tiers"),
        ("[pool p]", "[puddle p]", "puddle p", ""),
    ],
)
def test_error_reports_file_section_and_key(
    old: str, new: str, section: str, key: str
) -> None:
    with pytest.raises(SettingsError) as error:
        parse(BODY.replace(old, new), "fleet.ini")
    assert error.value.file == "fleet.ini"
    assert error.value.section == section
    assert error.value.key == key


@pytest.mark.parametrize("body", ["", "rubbish", "[fleet]\n[fleet]\n", "\x00"])
def test_malformed_text_is_rejected(body: str) -> None:
    with pytest.raises(SettingsError):
        parse(body)


def test_content_hash_is_independent_of_section_order() -> None:
    head, pool, rest = BODY.partition("[pool p]\n")
    reordered = pool + head + rest
    assert content_hash(reordered) == content_hash(BODY)
    assert content_hash(BODY.replace("rank = 0", "rank = 1")) != content_hash(BODY)
