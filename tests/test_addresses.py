"""Texts that are addresses, and texts that only look like one."""

from __future__ import annotations

import re

import pytest
from eventlet.green import socket
from hypothesis import given
from hypothesis import strategies as st

from dockreach.addresses import ADDRESS_PATTERN, IP_PATTERN, PORT_PATTERN


@given(st.lists(st.integers(0, 255), min_size=4, max_size=4), st.integers(1, 65535))
def test_each_address_and_port_matches(octets: list[int], port: int) -> None:
    text = ".".join(map(str, octets))
    assert re.fullmatch(ADDRESS_PATTERN, f"{text}:{port}")
    assert socket.inet_ntoa(socket.inet_aton(text)) == text


def test_exactly_the_ports_of_a_socket_match() -> None:
    found = [port for port in range(-1, 100_001) if re.fullmatch(PORT_PATTERN, str(port))]
    assert found == list(range(1, 65536))


def test_exactly_the_octets_match() -> None:
    found = [
        octet for octet in range(-1, 1001) if re.fullmatch(IP_PATTERN, f"1.2.3.{octet}")
    ]
    assert found == list(range(256))


@pytest.mark.parametrize(
    "text",
    [
        "",
        "1.2.3:80",
        "1.2.3.4",
        "1.2.3.4:",
        "1.2.3.4.5:80",
        "01.2.3.4:80",
        "1.2.3.010:80",
        "1.2.3.4:080",
        "1.2.3.4:8_0",
        "1.2.3.4:+8",
        "1.2.3.4:80\n",
        "\u0661.2.3.4:80",
        "1.2.3.4:\u0668\u0660",
        "1.2.3.4:8\u00b2",
        "1.2.3.4:\uff18\uff10",
        "worker.example:80",
    ],
)
def test_other_texts_do_not_match(text: str) -> None:
    assert not re.fullmatch(ADDRESS_PATTERN, text)
