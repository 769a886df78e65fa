"""Hosts are packed as by the socket library."""

from __future__ import annotations

import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.core.address import pack_host, unpack_host


@given(st.binary(min_size=4, max_size=4))
def test_hosts_are_packed_as_the_socket_library_packs_them(packed: bytes) -> None:
    host = socket.inet_ntoa(packed)
    assert unpack_host(packed) == host
    assert pack_host(host) == packed


@pytest.mark.parametrize("host", ["", "nowhere", "10.0.0", "10.0.0.256", "10.0.0.-1", "10.0.0.0.1", "::1"])
def test_packing_another_text_raises(host: str) -> None:
    with pytest.raises(ValueError, match="not a numeric IPv4 host"):
        pack_host(host)


@pytest.mark.parametrize("packed", [b"", b"\x0a\x00\x00", b"\x0a\x00\x00\x01\x01"])
def test_unpacking_another_length_raises(packed: bytes) -> None:
    with pytest.raises(ValueError, match="not an IPv4 host"):
        unpack_host(packed)
