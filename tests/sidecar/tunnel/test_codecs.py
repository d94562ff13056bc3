"""The SOCKS5 and CONNECT codecs, destinations and the route table, without I/O."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shedgrade.sidecar.tunnel import connect, routes, socks
from shedgrade.sidecar.tunnel.destinations import Destination, DestinationError, authority, destination

LOGIN = ("user", "pass:word")


def allowed(user, password):
    return (user, password) == LOGIN


def codec_state(codec):
    return (
        getattr(codec, "destination", None),
        getattr(codec, "done", None),
        codec.failed,
        codec.rest,
        bytes(codec.out),
        getattr(codec, "user", None),
        getattr(codec, "unreachable", None),
    )


def feed(codec, data, cuts=()):
    offsets = [0, *sorted(cuts), len(data)]
    for start, end in zip(offsets, offsets[1:], strict=False):
        codec.receive(data[start:end])
    return codec


GREETING = b"\x05\x02\x00\x02"
SOCKS_STREAMS = [
    GREETING + b"\x05\x01\x00\x03\x0bexample.com\x01\xbb",
    GREETING + b"\x05\x01\x00\x01\x7f\x00\x00\x01\x00\x50ahead",
    GREETING + b"\x05\x01\x00\x04" + bytes(15) + b"\x01\x1f\x90",
    GREETING + b"\x05\x02\x00\x01\x7f\x00\x00\x01\x00\x50",
    GREETING + b"\x05\x01\x00\x09rest",
    b"\x04\x01",
    GREETING + b"\x05\x01\x00\x03\x00\x00\x50",
    b"\x05\x01\x01rest",
]
CONNECT_STREAMS = [
    b"CONNECT Example.com.:443 HTTP/1.1\r\nHost: x\r\n\r\nahead",
    b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    b"CONNECT a:1 HTTP/1.1\r\n\r\n",
    b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello",
    b"CONNECT [::1]:80 HTTP/1.0\r\n\r\n",
    b"CONNECT a:1 HTTP/1.1\r\nHost : a\r\n\r\n",
    b"\x00" * 20 + b"\r\n\r\n",
]


@pytest.mark.parametrize("data", SOCKS_STREAMS)
@pytest.mark.parametrize("login", [None, allowed])
def test_every_split_of_a_socks_request_gives_the_same_result(data, login):
    if login:
        user, word = (part.encode() for part in LOGIN)
        data = data[:4] + b"\x01" + bytes([len(user)]) + user + bytes([len(word)]) + word + data[4:]
    whole = codec_state(feed(socks.Accepting(login), data))
    for cut in range(len(data)):
        for other in range(cut, len(data)):
            assert codec_state(feed(socks.Accepting(login), data, (cut, other))) == whole


@pytest.mark.parametrize("data", CONNECT_STREAMS)
def test_every_split_of_a_connect_request_gives_the_same_result(data):
    whole = codec_state(feed(connect.Accepting(), data))
    for cut in range(len(data)):
        assert codec_state(feed(connect.Accepting(), data, (cut,))) == whole
    assert codec_state(feed(connect.Accepting(), data, range(len(data)))) == whole


@settings(max_examples=150, deadline=None)
@given(st.binary(max_size=60), st.lists(st.integers(0, 60), max_size=8), st.booleans())
def test_random_bytes_never_raise_and_every_split_gives_the_same_result(random_bytes, cuts, valid_start):
    cuts = [cut for cut in cuts if cut <= len(random_bytes)]
    start = b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n" if valid_start else b""
    for make, data in (
        (lambda: socks.Accepting(allowed), GREETING + random_bytes),
        (socks.Accepting, GREETING + random_bytes),
        (connect.Accepting, start + random_bytes),
        (lambda: socks.Dialling(Destination("a", 1), LOGIN), random_bytes),
        (lambda: socks.Dialling(Destination("a", 1)), b"\x05\x00" + random_bytes),
        (lambda: connect.Dialling(Destination("a", 1)), b"HTTP/1.1 200 OK\r\n" + random_bytes),
    ):
        assert codec_state(feed(make(), data, cuts)) == codec_state(feed(make(), data))


@settings(max_examples=100, deadline=None)
@given(
    st.one_of(
        st.ip_addresses().map(str),
        st.from_regex(r"[a-z][a-z0-9-]{0,20}[a-z](\.[a-z]{2,8}){0,3}", fullmatch=True),
    ),
    st.integers(1, 65535),
    st.booleans(),
    st.binary(max_size=20),
)
def test_client_and_server_complete_a_handshake(host, port, with_login, ahead):
    target = destination(host, port)
    for server, client in (
        (
            socks.Accepting(allowed if with_login else None),
            socks.Dialling(target, LOGIN if with_login else None),
        ),
        (
            connect.Accepting(allowed if with_login else None),
            connect.Dialling(target, LOGIN if with_login else None),
        ),
    ):
        for _ in range(4):
            server.receive(client.take_out())
            client.receive(server.take_out())
        assert server.destination == target and not server.failed and (server.user == "user") == with_login
        client.receive(server.granted() + ahead)
        assert client.done and client.rest == ahead


def test_unreachable_destinations_are_distinguished_from_failures_of_the_proxy():
    for code, unreachable in (
        (3, True),
        (4, True),
        (5, True),
        (6, True),
        (1, False),
        (2, False),
        (8, False),
        (99, False),
    ):
        codec = feed(
            socks.Dialling(Destination("a", 1)), b"\x05\x00\x05" + bytes([code]) + socks.UNSPECIFIED_ADDRESS
        )
        assert codec.failed and codec.unreachable == unreachable, code
    for status, unreachable in (
        (502, True),
        (503, True),
        (504, True),
        (407, False),
        (403, False),
        (500, False),
    ):
        codec = feed(connect.Dialling(Destination("a", 1)), b"HTTP/1.1 %d X\r\n\r\n" % status)
        assert codec.failed and codec.unreachable == unreachable, status
    assert feed(connect.Dialling(Destination("a", 1)), b"HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\n\r\n").done


def test_refusals_have_the_codes_of_the_protocols():
    bind = feed(socks.Accepting(), GREETING + b"\x05\x02\x00\x01\x7f\x00\x00\x01\x00\x50")
    udp = feed(socks.Accepting(), GREETING + b"\x05\x03\x00\x01\x7f\x00\x00\x01\x00\x50")
    assert bind.out[2 + 1] == udp.out[2 + 1] == socks.COMMAND_NOT_SUPPORTED
    assert feed(socks.Accepting(allowed), b"\x05\x01\x00").out == b"\x05\xff"
    failed_login = feed(socks.Accepting(allowed), b"\x05\x01\x02\x01\x01u\x01w")
    assert failed_login.out.endswith(b"\x01\x01") and failed_login.failed == "login refused"
    for raw, status in (
        (b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 407),
        (b"POST / HTTP/1.1\r\nHost: a\r\n\r\n", 405),
        (b"CONNECT a HTTP/1.1\r\nHost: a\r\n\r\n", 407),
        (b"x" * 20_000, 431),
    ):
        assert bytes(feed(connect.Accepting(allowed), raw).out).startswith(b"HTTP/1.1 %d" % status)
    looped = feed(
        connect.Accepting(None, "shedgrade-n1"),
        b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\nVia: 1.1 shedgrade-n1\r\n\r\n",
    )
    assert looped.failed == "status 508"


@pytest.mark.parametrize(
    "text, host",
    [
        ("Example.COM.", "example.com"),
        ("127.0.0.1", "127.0.0.1"),
        ("::1", "::1"),
        ("[::1]", "::1"),
        ("0:0:0:0:0:0:0:1", "::1"),
        ("::ffff:10.0.0.1", "10.0.0.1"),
        ("a_b.c", "a_b.c"),
    ],
)
def test_destinations_are_normalised(text, host):
    assert destination(text, 80).host == host


@pytest.mark.parametrize(
    "text",
    [
        "",
        ".",
        "a..b",
        "-a.b",
        "a b",
        "127.1",
        "0x7f.0x1",
        "1.2.3.4.5",
        "a" * 64,
        "é.x",
        "fe80::1%eth0",
        "a/b",
        "a\0b",
        ".a",
    ],
)
def test_invalid_destinations_are_refused(text):
    with pytest.raises(DestinationError):
        destination(text, 80)


def test_an_authority_requires_a_port_and_brackets_around_ipv6():
    assert authority("[::1]:80") == Destination("::1", 80, True)
    for text in ("a", "a:", "a:x", "a:0", "a:65536", "::1:80", "a:+80", ":80"):
        with pytest.raises(DestinationError):
            authority(text)


def table(*rows):
    return routes.Table(
        [
            routes.Route(
                routes.parse_names(row.get("names", [])),
                routes.parse_suffixes(row.get("suffixes", [])),
                routes.parse_ranges(row.get("ranges", [])),
                routes.parse_ports(row.get("ports", [])),
                row.get("use", "opaque"),
                row.get("pool", "p"),
            )
            for row in rows
        ]
    )


def test_the_first_matching_route_applies_and_no_match_is_refused():
    found = table(
        {"names": ["secret.internal"], "use": "refuse"},
        {"suffixes": [".internal"], "ports": [443, [8000, 8100]], "pool": "inner"},
        {"ranges": ["10.0.0.0/8", "fd00::/8"], "pool": "net"},
        {"names": ["10.1.2.3", "One.Example."]},
    )

    def pool(host, port=443):
        route = found.find(destination(host, port))
        return route and route.pool

    assert pool("a.internal") == pool("B.A.internal.", 8050) == "inner"
    assert pool("secret.internal") is pool("SECRET.internal.") is None
    assert pool("internal") is pool("xinternal") is None
    assert pool("a.internal", 80) is pool("elsewhere.example") is pool("11.0.0.1") is None
    assert (
        pool("10.9.9.9", 1) == pool("fd12::1") == pool("::ffff:10.9.9.9") == "net"
        and pool("one.example") == "p"
    )


@pytest.mark.parametrize(
    "row",
    [
        {"names": ["a b"]},
        {"suffixes": ["internal"]},
        {"ranges": ["10.0.0.1/8"]},
        {"ports": [0]},
        {"ports": [[9, 8]]},
    ],
)
def test_invalid_routes_are_refused(row):
    with pytest.raises(routes.RouteError):
        table(row)
