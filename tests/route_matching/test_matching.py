"""The tree of matchers against naive models of what it must find."""

import doctest

import pytest
from hypothesis import given
from hypothesis import strategies as st

import shedgrade.findings
import shedgrade.route_matching.routes
from shedgrade.findings import Finding, Findings
from shedgrade.route_matching import (
    CallTree,
    Match,
    NotAllowed,
    NotFound,
    RouteTree,
    Tree,
    host_name,
)

SEGMENT = st.sampled_from([b"a", b"b", b"ab", b"", b"{", b"%2F", b"A"])
PREFIX = st.lists(SEGMENT, max_size=4).map(lambda parts: b"/" + b"".join(part + b"/" for part in parts))
PATH = st.lists(SEGMENT, max_size=5).map(lambda parts: b"/" + b"/".join(parts))
HOST = st.sampled_from([b"one.example", b"two.example", b"TWO.example"])


def begins(routes, host, path):
    """The naive model: all prefixes are tried, the longest is kept; a later one replaces its equal."""
    best = None
    for at, (name, prefix) in enumerate(routes):
        fits = name.lower() == host.partition(b":")[0].lower() and path.startswith(prefix)
        if fits and (best is None or len(prefix) >= len(routes[best][1])):
            best = at
    return best


@given(st.lists(st.tuples(HOST, PREFIX), max_size=12), HOST, PATH, st.sampled_from([b"", b":80"]))
def test_the_longest_prefix_wins(routes, host, path, port):
    tree = RouteTree((name, prefix, at) for at, (name, prefix) in enumerate(routes))
    assert tree.find(host + port, path) == begins(routes, host + port, path)


@given(st.lists(st.tuples(HOST, PREFIX), max_size=12), HOST, st.binary(max_size=12))
def test_any_bytes_can_be_looked_up(routes, host, path):
    tree = RouteTree((name, prefix, at) for at, (name, prefix) in enumerate(routes))
    assert tree.find(host, path) == begins(routes, host, path)
    tree.find(path, path)


def test_prefixes_end_at_slashes():
    tree = RouteTree([(b"h.example", b"/a/", "a"), (b"h.example", b"/a/b/", "b")])
    assert tree.find(b"h.example", b"/a") is None
    assert tree.find(b"h.example", b"/a/") == "a"
    assert tree.find(b"h.example", b"/a/b") == "a"
    assert tree.find(b"h.example", b"/a/bc/") == "a"
    assert tree.find(b"h.example", b"/a/b/c?d=/e/") == "b"
    assert tree.find(b"h.example", b"/") is None
    assert tree.find(b"h.example", b"") is None
    assert tree.find(b"other.example", b"/a/") is None


def test_a_falsy_value_is_found_too():
    assert RouteTree([(b"h", b"/", 0)]).find(b"h", b"/x") == 0


def test_hosts_are_compared_without_case_and_port():
    tree = RouteTree([(b"H.example", b"/", 1), (b"[::1]", b"/", 2)])
    assert [tree.find(host, b"/x") for host in (b"h.EXAMPLE:8080", b"h.example", b"[::1]:80", b"[::1]")] == [
        1,
        1,
        2,
        2,
    ]
    assert host_name(b"[::1") == b"[::1" and host_name(b"") == b""


@pytest.mark.parametrize("prefix", [b"a/", b"/a", b"", b"a"])
def test_no_prefix_without_its_slashes(prefix):
    with pytest.raises(ValueError):
        RouteTree([(b"h", prefix, 1)])


def test_ten_thousand_routes_are_told_apart():
    routes = [(b"h%d.example" % (at % 7), b"/p%d/q%d/" % (at % 100, at), at) for at in range(10_000)]
    tree = RouteTree(routes)
    assert all(tree.find(host, prefix + b"x") == at for host, prefix, at in routes)


def test_a_path_of_many_segments_costs_no_more_than_the_routes_are_deep():
    class Counted(bytes):
        looked = 0

        def find(self, *what):
            Counted.looked += 1
            return super().find(*what)

    tree = RouteTree([(b"h", b"/a/a/", 1)])
    assert tree.find(b"h", Counted(b"/a" * 10_000)) == 1
    assert Counted.looked <= 3


PATTERN = st.lists(st.sampled_from([b"a", b"b", b"{}"]), min_size=1, max_size=3).map(
    lambda parts: b"/" + b"/".join(parts)
)
METHOD = st.sampled_from([b"GET", b"PUT"])


def stands_for(pattern, path):
    """The naive model: the arguments of a path that a pattern matches, else None."""
    ours, theirs = pattern.split(b"/"), path.split(b"/")
    if len(ours) != len(theirs):
        return None
    if any(one != other and (one != b"{}" or not other) for one, other in zip(ours, theirs, strict=True)):
        return None
    return tuple(other for one, other in zip(ours, theirs, strict=True) if one == b"{}")


@given(st.dictionaries(st.tuples(METHOD, PATTERN), st.integers(), max_size=8), METHOD, PATH)
def test_calls_are_found_by_method_and_path(calls, method, path):
    tree = CallTree()
    for (verb, pattern), value in calls.items():
        tree.add(verb, pattern, value)
    matching = {key: stands_for(key[1], path) for key in calls if stands_for(key[1], path) is not None}
    found = tree.find(method, path)
    mine = {(calls[key], arguments) for key, arguments in matching.items() if key[0] == method}
    if mine:
        assert (found.value, found.arguments) in mine
    elif matching:
        assert found == NotAllowed(tuple(sorted({verb for verb, _ in matching})))
    else:
        assert found == NotFound()


def test_a_literal_segment_goes_before_a_variable_one():
    tree = CallTree()
    tree.add(b"GET", b"/zones/{}", "any")
    tree.add(b"GET", b"/zones/all", "all")
    tree.add(b"PUT", b"/zones/{}", "put")
    assert tree.find(b"GET", b"/zones/all") == Match("all")
    assert tree.find(b"GET", b"/zones/north") == Match("any", (b"north",))
    assert tree.find(b"PUT", b"/zones/all") == Match("put", (b"all",))
    assert tree.find(b"GET", b"/zones/") == NotFound()
    assert tree.find(b"GET", b"/zones/north/") == NotFound()
    assert tree.find(b"POST", b"/zones/all") == NotAllowed((b"GET", b"PUT"))
    assert CallTree().find(b"GET", b"/") == NotFound()


def test_patterns_that_could_never_match_are_refused():
    for pattern in (b"zones", b"/zones/"):
        with pytest.raises(ValueError):
            CallTree().add(b"GET", pattern, 1)


def test_a_tree_holds_values_by_host_and_method():
    tree = Tree()
    tree.insert(None, b"/a", 1)
    tree.insert(b"h", b"/a", 2, b"GET")
    assert tree.hosts[None].children[b"a"].value == 1
    assert tree.hosts[b"h"].children[b"a"].values == {b"GET": 2}


def test_findings_are_bounded_and_the_rest_counted():
    findings = Findings(limit=2)
    for at in range(3):
        findings.add(f"at[{at}]", "is wrong")
    assert findings.all() == (Finding("at[0]", "is wrong"), Finding("at[1]", "is wrong"))
    assert findings.omitted == 1 and findings.full() and len(findings) == 2
    assert str(findings.all()[0]) == "at[0]: is wrong"


@pytest.mark.parametrize("module", [shedgrade.findings, shedgrade.route_matching.routes])
def test_examples_of_the_docstrings(module):
    assert doctest.testmod(module).failed == 0
