"""The trees of routes and calls, compared with naive models; the bound of `Findings`."""

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


def longest_prefix_index(routes, host, path):
    """Naive model: the index of the route with the longest matching prefix, the last of equal ones; None if
    none matches.
    """
    best = None
    for index, (name, prefix) in enumerate(routes):
        matches = name.lower() == host.partition(b":")[0].lower() and path.startswith(prefix)
        if matches and (best is None or len(prefix) >= len(routes[best][1])):
            best = index
    return best


@given(st.lists(st.tuples(HOST, PREFIX), max_size=12), HOST, PATH, st.sampled_from([b"", b":80"]))
def test_the_longest_prefix_wins(routes, host, path, port):
    tree = RouteTree((name, prefix, index) for index, (name, prefix) in enumerate(routes))
    assert tree.find(host + port, path) == longest_prefix_index(routes, host + port, path)


@given(st.lists(st.tuples(HOST, PREFIX), max_size=12), HOST, st.binary(max_size=12))
def test_any_bytes_can_be_looked_up(routes, host, path):
    tree = RouteTree((name, prefix, index) for index, (name, prefix) in enumerate(routes))
    assert tree.find(host, path) == longest_prefix_index(routes, host, path)
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
def test_a_prefix_must_begin_and_end_with_a_slash(prefix):
    with pytest.raises(ValueError):
        RouteTree([(b"h", prefix, 1)])


def test_ten_thousand_routes_are_distinguished():
    routes = [
        (b"h%d.example" % (index % 7), b"/p%d/q%d/" % (index % 100, index), index) for index in range(10_000)
    ]
    tree = RouteTree(routes)
    assert all(tree.find(host, prefix + b"x") == index for host, prefix, index in routes)


def test_no_more_segments_of_a_path_are_compared_than_the_routes_have():
    class CountingPath(bytes):
        find_count = 0

        def find(self, *arguments):
            CountingPath.find_count += 1
            return super().find(*arguments)

    tree = RouteTree([(b"h", b"/a/a/", 1)])
    assert tree.find(b"h", CountingPath(b"/a" * 10_000)) == 1
    assert CountingPath.find_count <= 3


PATTERN = st.lists(st.sampled_from([b"a", b"b", b"{}"]), min_size=1, max_size=3).map(
    lambda parts: b"/" + b"/".join(parts)
)
METHOD = st.sampled_from([b"GET", b"PUT"])


def match_arguments(pattern, path):
    """Naive model: the path's arguments for the pattern; None if they don't match."""
    pattern_segments, path_segments = pattern.split(b"/"), path.split(b"/")
    if len(pattern_segments) != len(path_segments):
        return None
    if any(
        pattern_segment != path_segment and (pattern_segment != b"{}" or not path_segment)
        for pattern_segment, path_segment in zip(pattern_segments, path_segments, strict=True)
    ):
        return None
    return tuple(
        path_segment
        for pattern_segment, path_segment in zip(pattern_segments, path_segments, strict=True)
        if pattern_segment == b"{}"
    )


@given(st.dictionaries(st.tuples(METHOD, PATTERN), st.integers(), max_size=8), METHOD, PATH)
def test_calls_are_found_by_method_and_path(calls, method, path):
    tree = CallTree()
    for (pattern_method, pattern), value in calls.items():
        tree.add(pattern_method, pattern, value)
    matching_calls = {
        key: match_arguments(key[1], path) for key in calls if match_arguments(key[1], path) is not None
    }
    found = tree.find(method, path)
    expected = {(calls[key], arguments) for key, arguments in matching_calls.items() if key[0] == method}
    if expected:
        assert (found.value, found.arguments) in expected
    elif matching_calls:
        assert found == NotAllowed(tuple(sorted({pattern_method for pattern_method, _ in matching_calls})))
    else:
        assert found == NotFound()


def test_a_literal_segment_takes_precedence_over_a_variable_one():
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


def test_findings_are_bounded_and_further_ones_are_counted():
    findings = Findings(limit=2)
    for index in range(3):
        findings.add(f"at[{index}]", "is wrong")
    assert findings.all() == (Finding("at[0]", "is wrong"), Finding("at[1]", "is wrong"))
    assert findings.omitted == 1 and findings.is_full() and len(findings) == 2
    assert str(findings.all()[0]) == "at[0]: is wrong"


@pytest.mark.parametrize("module", [shedgrade.findings, shedgrade.route_matching.routes])
def test_docstring_examples(module):
    assert doctest.testmod(module).failed == 0
