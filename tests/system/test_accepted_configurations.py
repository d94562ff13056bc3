"""What the control plane acknowledges, every edge can apply: configurations and PATCHes with odd values.

Guards against a configuration that is acknowledged and in force nowhere. More of them, from another seed:
`CONFIGURATIONS=100000 SEED=7 python -m pytest -q tests/system/test_accepted_configurations.py`.
"""

import json
import os
from collections import Counter
from random import Random
from types import SimpleNamespace

import orjson
import pytest

from shedgrade import configuration
from shedgrade.buffers.budget import Budget
from shedgrade.control_messages import ControlChange
from shedgrade.controlplane.configuration_validation import read_configuration
from shedgrade.controlplane.delta import apply_delta, read_delta
from shedgrade.dataplane.received_state import NO_CONFIGURATION
from shedgrade.dataplane.service import ServicePool
from shedgrade.dataplane.state import State
from shedgrade.runtime.clock import Clock
from shedgrade.served_routes import ServedRoute

COUNT = int(os.environ.get("CONFIGURATIONS", "400"))
SEED = int(os.environ.get("SEED", "1"))
LARGEST_DOUBLE = 1.7976931348623157e308
NUMBERS = (
    0,
    1,
    5.0,
    0.5,
    800,
    1e15,
    1e300,
    LARGEST_DOUBLE,
    -LARGEST_DOUBLE,
    5e-324,
    1e-320,
    9e15,
    10**400,
    -1,
    2**53,
    2**63 - 1,
    2**64,
)
ODD = (None, "", "x", True, [], {}, "\u2028", "\U0001f6b2", [None], {"a": 1})
TEXTS = ("s", "t", "S", "é", "\U0001f6b2", "a b", "{}", "x" * 300, "")
PREFIXES = ("/", "/a/", "/a/b/", "/{}/", "/a/{}/", "//", "/\u00e9/", "/%2f/", "a/", "/a")
SETTINGS = SimpleNamespace(
    zones={"z1": "east", "z2": "west"},
    region="east",
    bounds={
        "retryBudgetRatio": 0.2,
        "retrySlack": 50.0,
        "retryWindowS": 10.0,
        "coldExcess": 1.5,
        "coldSlack": 5,
    },
    cloud_api=SimpleNamespace(max_lag_ms=800),
)


class Loop:
    """The part of an event loop that a service pool uses when settings are applied."""

    def time(self):
        return 1.0

    def call_soon(self, callback, *arguments):
        pass

    def call_at(self, when, callback):
        return SimpleNamespace(cancel=lambda: None)


def make_edge():
    loop, clock, budget = Loop(), Clock(), Budget(4000, 300)
    regions = {"east": 0, "west": 1}
    return State(
        SETTINGS,
        loop.time,
        lambda name, retry_budget: ServicePool(
            name, regions, "east", 7, loop, clock, budget, retry_budget, "edge-1"
        ),
    )


class Generator:
    """Draws configurations, most of which are valid."""

    def __init__(self, seed):
        self.random = Random(seed)

    def odd(self, usual):
        """The usual value, or rarely one of another type."""
        return self.random.choice(ODD) if self.random.random() < 0.005 else usual

    def number(self):
        return self.odd(self.random.choice(NUMBERS))

    def fields(self, draw):
        """Some of the fields that `draw` names, in a random order."""
        names = [name for name in draw if self.random.random() < 0.5]
        return {name: draw[name]() for name in names}

    def route(self, services):
        random = self.random
        target = (
            {"service": random.choice(services)}
            if random.random() < 0.6
            else {"weightedSplit": [{"service": name, "weight": self.number()} for name in services]}
        )
        return {
            "host": self.odd(random.choice(("h", "H.example", "\u00e9.example", "*", ""))),
            "pathPrefix": self.odd(random.choice(PREFIXES)),
            **target,
            **self.fields(
                {
                    "name": lambda: self.odd(random.choice((*TEXTS, None))),
                    "routeClass": lambda: self.odd(random.choice(("safe", "unsafe", "streaming", "new"))),
                    "timeoutMs": self.number,
                    "targetMs": self.number,
                    "priority": self.number,
                    "maxAttempts": self.number,
                    "sessionAffinity": lambda: self.odd(random.random() < 0.5),
                    "resumable": lambda: self.odd(random.random() < 0.5),
                    "gap_aim_ms": self.number,
                    "homeRegions": lambda: self.odd(
                        random.choice(([], ["east"], ["mars"], ["east", "east"]))
                    ),
                    "ratePerS": self.number,
                }
            ),
        }

    def service(self, name):
        engine = {"capacitySlots": self.number, "kvBytes": self.number, "stride": self.number}
        return {
            "name": name,
            **self.fields(
                {
                    "maxConnections": self.number,
                    "coldStartS": self.number,
                    "coldRateS": self.number,
                    "protocol": lambda: self.odd("h1"),
                    "inferenceEngine": lambda: self.odd(self.fields(engine)),
                }
            ),
        }

    def configuration(self, version):
        services = self.random.sample(TEXTS, self.random.randint(1, 3))
        many = 700 if self.random.random() < 0.002 else self.random.randint(0, 3)
        limits = ("headerBytes", "bodyBytes", "headerTimeoutMs", "idleTimeoutMs")
        content = {
            "configVersion": version,
            "serviceList": [self.service(name) for name in services],
            "routeList": [self.route(services) for _ in range(many)],
            **self.fields({"limits": lambda: self.fields(dict.fromkeys(limits, self.number))}),
        }
        return json.dumps(content).encode()

    def patch(self, version, services):
        names = [name for name in TEXTS if name]
        content = {
            "configVersion": version,
            "addModify": {
                "routeList": [{**self.route(services), "name": self.random.choice(names)}],
                "serviceList": [self.service(self.random.choice(names))],
            },
        }
        return json.dumps(content).encode()


def apply(edge, version, raw):
    """Applies it as an edge does when it is told; an exception is the fault."""
    edge.apply_control(ControlChange(1, version, version, raw))
    assert edge.routes.version == version
    for route in configuration.parse(raw).routes:
        served = edge.routes.find(route.host.encode(), route.path_prefix.encode())
        assert served is not None and served.choose_service(Random(1)) in route.weights()


def test_every_accepted_configuration_is_applied():
    generator, edge, accepted, patched = Generator(SEED), make_edge(), 0, 0
    for version in range(1, 2 * COUNT, 2):
        raw = generator.configuration(version)
        if read_configuration(raw).is_error():
            continue
        accepted += 1
        apply(edge, version, raw)
        services = [service.name for service in configuration.parse(raw).services]
        delta = generator.patch(version + 1, services)
        if read_delta(delta).is_error():
            continue
        merged = apply_delta(raw, delta, version + 1)
        if merged.is_ok():
            patched += 1
            apply(edge, version + 1, merged.ok)
    assert accepted > COUNT // 10 and patched > 0


@pytest.mark.parametrize("field", ["targetMs", "timeoutMs", "gap_aim_ms", "ratePerS"])
def test_the_largest_double_is_a_number_like_any_other(field):
    raw = orjson.dumps(
        {
            "configVersion": 5,
            "serviceList": [{"name": "s", "coldStartS": LARGEST_DOUBLE, "coldRateS": LARGEST_DOUBLE}],
            "routeList": [{"host": "h", "pathPrefix": "/", "service": "s", field: LARGEST_DOUBLE}],
        }
    )
    assert read_configuration(raw).is_ok()
    apply(make_edge(), 5, raw)


@pytest.mark.parametrize(
    ("first", "second", "share"),
    [
        (LARGEST_DOUBLE, LARGEST_DOUBLE, 1 / 2),
        (5e-324, 5e-324, 1 / 2),
        (5e-324, 1.5e-323, 1 / 4),
        (9e15, 1e15, 9 / 10),
        (1e15, 4e18, 1 / 4001),
        pytest.param(10**400, 10**400, 1 / 2, id="beyond doubles"),
        pytest.param(10**399, 10**400, 1 / 11, id="beyond doubles, 1 to 10"),
        pytest.param(10**400, 0.5, 1, id="beyond doubles, and a half"),
        (90, 10, 9 / 10),
    ],
)
@pytest.mark.parametrize("by_patch", [False, True])
def test_an_accepted_split_is_served_as_its_weights_mean(first, second, share, by_patch):
    """Guards against weights that are limited or rounded on the way from the operator to the request."""
    split = [{"service": "s", "weight": first}, {"service": "t", "weight": second}]
    route = {"name": "r", "host": "h", "pathPrefix": "/"}
    services = [{"name": "s"}, {"name": "t"}]
    whole = {"configVersion": 5, "serviceList": services, "routeList": [{**route, "weightedSplit": split}]}
    if by_patch:
        base = {**whole, "configVersion": 4, "routeList": [{**route, "service": "s"}]}
        delta = {"configVersion": 5, "addModify": {"routeList": whole["routeList"]}}
        assert read_delta(json.dumps(delta).encode()).is_ok()
        raw = apply_delta(json.dumps(base).encode(), json.dumps(delta).encode(), 5).ok
    else:
        raw = json.dumps(whole).encode()
    assert read_configuration(raw).is_ok()
    edge = make_edge()
    apply(edge, 5, raw)
    served, random = edge.routes.find(b"h", b"/"), Random(1)
    counts = Counter(served.choose_service(random) for _ in range(5000))
    assert counts["s"] / 5000 == pytest.approx(share, abs=0.002)


def test_a_patch_of_an_item_whose_name_is_null_changes_the_others():
    route = {"name": None, "host": "h", "pathPrefix": "/", "service": "s"}
    raw = orjson.dumps({"configVersion": 1, "serviceList": [{"name": "s"}], "routeList": [route]})
    assert read_configuration(raw).is_ok()
    merged = apply_delta(raw, b'{"configVersion":2,"addModify":{"serviceList":[{"name":"t"}]}}', 2)
    assert [service.name for service in configuration.parse(merged.ok).services] == ["s", "t"]


def whole_and_broken(version):
    """A configuration with a route that this version of the program can't build, as a later one may send."""
    whole = {"name": "whole", "host": "h", "pathPrefix": "/a/", "service": "s"}
    broken = {"name": "broken", "host": "h", "pathPrefix": "/b/", "service": "s", "targetMs": {"p95": 800}}
    services = [{"name": "s"}, {"name": "t", "coldStartS": [3.0]}]
    return json.dumps(
        {"configVersion": version, "serviceList": services, "routeList": [whole, broken], "limits": 7}
    ).encode()


def sound(version):
    return b'{"configVersion":%d,"serviceList":[{"name":"s"}],"routeList":[]}' % version


def test_an_edge_that_starts_serves_what_can_be_served():
    """Guards against an edge with nothing at all, as one item of the configuration can't be applied."""
    edge = make_edge()
    for version in (5, 6):
        with pytest.raises(TypeError):
            edge.apply_control(ControlChange(1, version, version, whole_and_broken(version), ("z1",)))
        assert edge.routes.find(b"h", b"/a/1").services == ["s"]
        assert edge.routes.find(b"h", b"/b/1").services == []  # 503: another edge may know better
        assert edge.routes.find(b"h", b"/c/1") is None
        assert edge.evacuated == {"z1"} and set(edge.services) == {"s"}
        assert edge.version_in_force() == NO_CONFIGURATION
    apply(edge, 7, sound(7))
    assert edge.version_in_force() == 7 and edge.routes.find(b"h", b"/b/1") is None


def test_an_edge_keeps_the_whole_configuration_that_it_had():
    edge = make_edge()
    apply(edge, 4, sound(4))
    with pytest.raises(TypeError):
        edge.apply_control(ControlChange(1, 5, 5, whole_and_broken(5), ("z1",)))
    assert edge.version_in_force() == 4 and edge.evacuated == {"z1"}


def test_a_route_that_fails_as_it_is_prepared_keeps_no_others_out(monkeypatch):
    prepare = ServedRoute.__init__

    def fail_for_one(self, route, regions):
        if route.name == "broken":
            raise OverflowError
        prepare(self, route, regions)

    monkeypatch.setattr(ServedRoute, "__init__", fail_for_one)
    edge = make_edge()
    raw = (
        whole_and_broken(5).replace(b'{"p95": 800}', b"800").replace(b"[3.0]", b"3.0").replace(b"7}", b"{}}")
    )
    with pytest.raises(OverflowError):
        edge.apply_control(ControlChange(1, 5, 5, raw))
    assert edge.routes.find(b"h", b"/a/1").services == ["s"]
    assert edge.routes.find(b"h", b"/b/1").services == [] and set(edge.services) == {"s", "t"}
    # The control plane does the same before it acknowledges.
    (finding,) = read_configuration(raw).error
    assert finding.place == "routeList[1]" and "OverflowError" in finding.text
    delta = (
        b'{"configVersion":6,"addModify":{"routeList":[%s]}}'
        % json.dumps({"name": "broken", "host": "h", "pathPrefix": "/b/", "service": "s"}).encode()
    )
    (finding,) = read_delta(delta).error
    assert finding.place == "addModify.routeList[0]" and "OverflowError" in finding.text
