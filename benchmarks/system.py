"""Slopes of the system's parts: `python benchmarks/system.py [PART ...]`; `--help` names the sizes.

Parts: list, configuration, choose, hub, views. Each runs in a process of its own, one line a figure. Time
is the processor's, of this machine; memory is resident, before and after. docs/CAPACITY.md uses them.
"""

import argparse
import asyncio
import gc
import json
import resource
import subprocess
import sys
import zlib
from pathlib import Path
from random import Random
from time import process_time
from types import SimpleNamespace

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

REGIONS, ZONES, MODELS = 28, 67, 3
HOSTS = 300  # among which routes are spread: a tenant has a prefix, not a host


def spent(call, times: int = 1) -> float:
    """ms of processor a call."""
    gc.collect()
    begun = process_time()
    for _ in range(times):
        call()
    return (process_time() - begun) * 1000 / times


def resident() -> float:
    """MB now."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 2**20


def zones() -> dict[str, str]:
    return {f"zone-{number}": f"region-{number % REGIONS}" for number in range(ZONES)}


def entries(count: int) -> list[dict]:
    """The platform's list."""
    return [
        {
            "instanceId": f"i-{number:08x}",
            "service": f"model-{number % MODELS}",
            "capacitySlots": 64,
            "address": f"10.{number >> 14}.{(number >> 7) & 127}.{number & 127}:8080",
            "zone": f"zone-{number % ZONES}",
            "state": "available",
            "coldLeftMs": 0,
            "configVersion": "v1",
            "stage": "dual",
            "modelList": [{"name": "m", "configVersion": 1, "adapterList": []}],
        }
        for number in range(count)
    ]


def configuration(routes: int) -> bytes:
    one = {
        "routeClass": "streaming",
        "timeoutMs": 10_000,
        "targetMs": 800,
        "priority": 0,
        "maxAttempts": 2,
        "sessionAffinity": True,
        "resumable": True,
        "gap_aim_ms": 400,
        "homeRegions": [],
    }
    return json.dumps(
        {
            "configVersion": 7,
            "routeList": [
                {
                    "name": f"r-{number}",
                    "host": f"h{number % HOSTS}.example",
                    "pathPrefix": f"/tenant-{number // HOSTS}/",
                    "service": f"model-{number % MODELS}",
                    **one,
                }
                for number in range(routes)
            ],
            "serviceList": [
                {"name": f"model-{number}", "maxConnections": 360, "coldStartS": 3, "coldRateS": 11}
                for number in range(MODELS)
            ],
            "limits": {
                "headerBytes": 16384,
                "bodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        },
        separators=(",", ":"),
    ).encode()


def an_edge(loop):
    """What an edge knows, without sockets."""
    from shedgrade.buffers.budget import Budget
    from shedgrade.dataplane.service import ServicePool
    from shedgrade.dataplane.state import State
    from shedgrade.process_settings.settings import TimingBounds
    from shedgrade.runtime.clock import Clock

    settings = SimpleNamespace(
        zones=zones(), bounds=TimingBounds({}), cloud_api=SimpleNamespace(max_lag_ms=800)
    )
    clock, budget = Clock(), Budget(4000, 300)

    def make_pool(name, retry_budget):
        return ServicePool(name, state.regions, "region-0", 7, loop, clock, budget, retry_budget, "edge-1")

    state = State(settings, loop.time, make_pool)
    return state


def change(raw: bytes | None, sequence: int = 1, evacuations: tuple = ()):
    from shedgrade.control_messages import ControlChange, compress_configuration

    whole, compressed = (None, False) if raw is None else compress_configuration(raw)
    return ControlChange(1, sequence, 7, whole, evacuations, compressed)


def measure_list(options) -> None:
    from shedgrade import control_messages
    from shedgrade.controlplane.endpoint_list import EndpointList
    from shedgrade.runtime import log

    log.set_sink(SimpleNamespace(**dict.fromkeys(log.LOG_METHODS, lambda *_, **__: None)))
    loop, count = asyncio.new_event_loop(), options.upstreams
    state = an_edge(loop)
    state.apply_control(change(configuration(10)))
    told, held = entries(count), EndpointList(lambda: 0.0)
    held.begin_term(1)
    print(f"core applies {count} entries of the platform: {spent(lambda: held.apply_poll(0.0, told)):.1f} ms")
    print(f"core applies the same again: {spent(lambda: held.apply_poll(1.0, told), 3):.1f} ms")
    whole = held.update_since(0, 0, 1.0)
    raw = control_messages.encode(whole)
    print(
        f"whole list encoded: {spent(lambda: control_messages.encode(whole), 3):.1f} ms, {len(raw)} bytes, "
        f"{len(zlib.compress(raw, 1))} by zlib"
    )
    print(f"whole list decoded: {spent(lambda: control_messages.decode(raw), 3):.1f} ms")
    before = resident()
    taken = spent(lambda: state.apply_endpoint_list(control_messages.decode(raw)))
    print(f"edge takes the whole list: {taken:.1f} ms, {resident() - before:.1f} MB more")
    base = held.version
    told[5] = {**told[5], "state": "draining"}
    print(f"core applies one that moved: {spent(lambda: held.apply_poll(2.0, told)):.1f} ms")
    delta = held.update_since(*base, 2.0)
    small = control_messages.encode(delta)
    made = spent(lambda: held.update_since(*base, 2.0), 100)
    print(f"delta of one: {made:.4f} ms to make, {len(small)} bytes")
    taken = spent(lambda: state.apply_endpoint_list(control_messages.decode(small)), 3)
    print(f"edge takes a delta of one: {taken:.1f} ms")


def measure_configuration(options) -> None:
    from shedgrade.configuration import parse
    from shedgrade.dataplane.routes import Routes

    raw = configuration(options.routes)
    packed = zlib.compress(raw, 1)
    print(
        f"{options.routes} routes: {len(raw)} bytes, {len(packed)} by zlib, "
        f"{spent(lambda: zlib.compress(raw, 1)):.1f} ms; "
        f"unpacked in {spent(lambda: zlib.decompress(packed)):.1f} ms"
    )
    regions = {name: number for number, name in enumerate(sorted(set(zones().values())))}
    gc.collect()
    before, made = resident(), []
    took = spent(lambda: made.append(Routes(parse(raw), regions)))
    print(f"edge parses it and makes its routes: {took:.1f} ms, {resident() - before:.1f} MB more")
    print(f"of that the JSON: {spent(lambda: json.loads(raw)):.1f} ms by json")
    random, routes = Random(1), made[0]
    asked = [
        (
            b"h%d.example" % random.randrange(HOSTS),
            b"/tenant-%d/chat" % random.randrange(options.routes // HOSTS),
        )
        for _ in range(20_000)
    ]
    print(f"a route found: {spent(lambda: [routes.find(*one) for one in asked]) / 20:.2f} us")
    from shedgrade.controlplane.configuration_validation import read_configuration

    before = resident()
    print(
        f"core reads and checks it: {spent(lambda: made.append(read_configuration(raw))):.1f} ms, "
        f"{resident() - before:.1f} MB more"
    )


def measure_choose(options) -> None:
    from shedgrade.load_balancing import COMPLETED, READY
    from shedgrade.model_routing import IDEMPOTENT, RoutingConstraints, ServingBalancer
    from shedgrade.model_routing.retry_budget import RetryBudget

    names = sorted(set(zones().values()))
    for count, regions in ((options.upstreams // REGIONS, 1), (options.upstreams, REGIONS)):
        balancer = ServingBalancer(names, 0, 7, 0, RetryBudget(0.2, 52, 100_000), "edge-1")
        rows = [(index, index % regions, READY, 0, 0, 1000 + index, 1.0, 0) for index in range(count)]
        took = spent(lambda b=balancer, r=rows: b.list_changed(0, r, True, False))
        print(f"{count} upstreams in {regions} regions listed: {took:.1f} ms")
        for shared, keys in (
            ("no shared parts", [b""]),
            ("shared parts", [b"%08x:900" % number for number in range(1000)]),
        ):
            random, flight, now = Random(1), [], 1
            tags = [
                SimpleNamespace(constraints=RoutingConstraints(prefix_key=key, max_attempts=2))
                for key in keys
            ]

            def one(b=balancer, random=random, flight=flight, tags=tags):
                nonlocal now
                now += 5
                rpc = b.admit(now, IDEMPOTENT, now + 100_000, False, random.choice(tags), 0)
                rpc.decide(now)
                flight.append(rpc)
                if len(flight) > 60:
                    flight.pop(random.randrange(60)).attempt_finished(now, 0, COMPLETED, 1000, True)

            spent(one, 5000)
            print(
                f"a request taken, sent and ended, 60 in flight, {shared}: {spent(one, 10_000) * 1000:.1f} us"
            )


def measure_hub(options) -> None:
    from shedgrade import control_messages
    from shedgrade.control_messages import READY, EdgeStatus, WatchRequest
    from shedgrade.controlplane.endpoint_list import EndpointList
    from shedgrade.controlplane.watch_hub import WatchHub
    from shedgrade.peer_transport import frames

    hub, count, out = WatchHub(0.0), options.edges, []
    hub.set_members(0.0, tuple(f"10.0.0.{number}:7300" for number in range(5)))
    held = EndpointList(lambda: 0.0)
    held.begin_term(1)
    told = entries(options.upstreams)
    held.apply_poll(0.0, told)
    hub.set_endpoint_list(0.0, held)

    raw = configuration(20)

    def control(sequence):
        state = {"configuration": raw, "version": b"%d" % sequence, "evacuations": b"[]"}
        hub.apply_control_state(0.0, 1, sequence, state)

    def asks(now, sequence):
        for number in range(count):
            zone = f"zone-{number % ZONES}"
            edge = EdgeStatus(f"edge-{number}", "10.1.0.12:8263", zone, "region-0", 1, READY)
            ask = WatchRequest(edge, (1, sequence), held.version, 1.2, sequence, 0.1)
            body = frames.encode("10.1.0.12:7300", 5, False, b"K" + control_messages.encode(ask))
            bodies.append(body[4:])

    def answer(told):
        out.append(frames.encode("10.0.0.1:7300", 5, True, b"K" + control_messages.encode(told)))

    control(1)
    bodies: list[bytes] = []
    asks(0.0, 1)
    before = resident()

    def take():
        for body in bodies:
            hub.watch(0.1, control_messages.decode(frames.decode(body).body[1:]), answer)

    print(
        f"{count} asks read and parked: {spent(take) / count * 1000:.0f} us each, "
        f"ask of {len(bodies[0])} bytes, {resident() - before:.1f} MB"
    )
    took = spent(lambda: hub.tick(1.5))
    print(f"answered after a beat: {took / count * 1000:.0f} us each, {len(out[-1])} bytes")
    take()
    took = spent(lambda: control(2))
    print(f"a configuration of {len(raw)} bytes told to all: {took:.1f} ms, {len(out[-1])} bytes each")
    bodies.clear()
    asks(0.0, 2)
    take()
    told[5] = {**told[5], "state": "draining"}
    held.apply_poll(1.0, told)
    took = spent(lambda: hub.set_endpoint_list(1.0, held))
    print(f"a delta of one upstream told to all: {took:.1f} ms, {len(out[-1])} bytes each")
    word = control_messages.encode(hub.edges.own_edges(1.0))
    took = spent(lambda: control_messages.encode(hub.edges.own_edges(1.0)))
    print(f"word to another member of {count} edges: {took:.1f} ms, {len(word)} bytes")


def measure_views(options) -> None:
    from shedgrade.membership.messages import Node
    from shedgrade.membership.view import PartialView

    random, count, seconds = Random(1), options.edges, 30
    nodes = [
        Node(
            f"edge-{number}",
            f"10.1.{number >> 8}.{number & 255}:7301",
            "edge",
            f"zone-{number % ZONES}",
            number,
            "",
            "10.1.0.12:8263",
        )
        for number in range(count)
    ]
    before = resident()
    views = {node.address: PartialView(node, Random(random.random()), 0.0) for node in nodes}
    for view in views.values():
        view.add_contacts(nodes[:3])
    sent = bytes_sent = 0
    begun = process_time()
    for step in range(seconds * 20):
        now = step / 20
        if step == seconds * 10:  # half of the time is for the views to fill
            sent = bytes_sent = 0
            begun = process_time()
        due = [view for view in views.values() if view.wake_at() <= now]
        for view in due:
            view.tick(now)
        busy = list(views.values())
        while busy:
            met = []
            for view in busy:
                instructions, view.instructions[:] = list(view.instructions), []
                for effect in instructions:
                    sent, bytes_sent = sent + 1, bytes_sent + len(effect.body)
                    if effect.address in views:
                        views[effect.address].receive(now, view.table.own_node.address, effect.body)
                        met.append(views[effect.address])
            busy = met
    half = seconds / 2
    print(
        f"{count} views, a second and view: {(process_time() - begun) / half / count * 1000:.2f} ms, "
        f"{sent / half / count:.1f} messages, {bytes_sent / half / count:.0f} bytes sent; "
        f"{(resident() - before) / count * 1024:.0f} KB a view"
    )
    counts = sorted(view.count("edge") for view in views.values())
    print(f"count as one view estimates it, median: {counts[count // 2]} of {count}")


PARTS = {
    "list": measure_list,
    "configuration": measure_configuration,
    "choose": measure_choose,
    "hub": measure_hub,
    "views": measure_views,
}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("parts", nargs="*", metavar="PART")
    for name, usual in (("edges", 540), ("upstreams", 12_000), ("routes", 21_000)):
        parser.add_argument(f"--{name}", type=int, default=usual)
    options = parser.parse_args()
    if len(options.parts) == 1:
        PARTS[options.parts[0]](options)
        return
    for name in options.parts or PARTS:
        print(f"-- {name}", flush=True)
        subprocess.run(
            [
                sys.executable,
                __file__,
                name,
                f"--edges={options.edges}",
                f"--upstreams={options.upstreams}",
                f"--routes={options.routes}",
            ],
            check=True,
        )


if __name__ == "__main__":
    main()
