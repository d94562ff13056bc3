"""Measures how the cost of the system's parts grows with size: `python benchmarks/system.py [PART ...]`.

Parts: list, configuration, choose, hub, views; `--help` names the sizes. Each part runs in a process of its
own and prints a line per figure: CPU time on this machine, and growth of the resident memory.
docs/CAPACITY.md uses the figures.
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
HOSTS = 300  # hosts over which the routes are spread; tenants differ by path prefix


def cpu_ms(call, times: int = 1) -> float:
    """Returns the CPU time of a call, in milliseconds."""
    gc.collect()
    begun = process_time()
    for _ in range(times):
        call()
    return (process_time() - begun) * 1000 / times


def resident_mib() -> float:
    """Returns the resident memory of this process, in MiB."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 2**20


def zones() -> dict[str, str]:
    return {f"zone-{number}": f"region-{number % REGIONS}" for number in range(ZONES)}


def endpoint_entries(count: int) -> list[dict]:
    """Returns the platform's list of `count` upstreams."""
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


def make_edge_state(loop):
    """Returns the control state of an edge, without sockets."""
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


def control_change(raw: bytes | None, sequence: int = 1, evacuations: tuple = ()):
    from shedgrade.control_messages import ControlChange, compress_configuration

    whole, compressed = (None, False) if raw is None else compress_configuration(raw)
    return ControlChange(1, sequence, 7, whole, evacuations, compressed)


def measure_list(options) -> None:
    from shedgrade import control_messages
    from shedgrade.controlplane.endpoint_list import EndpointList
    from shedgrade.runtime import log

    log.set_sink(SimpleNamespace(**dict.fromkeys(log.LOG_METHODS, lambda *_, **__: None)))
    loop, count = asyncio.new_event_loop(), options.upstreams
    state = make_edge_state(loop)
    state.apply_control(control_change(configuration(10)))
    entries, endpoint_list = endpoint_entries(count), EndpointList(lambda: 0.0)
    endpoint_list.begin_term(1)
    print(
        f"core applies a list of {count} entries: "
        f"{cpu_ms(lambda: endpoint_list.apply_poll(0.0, entries)):.1f} ms"
    )
    print(
        f"core applies the same list again: "
        f"{cpu_ms(lambda: endpoint_list.apply_poll(1.0, entries), 3):.1f} ms"
    )
    whole = endpoint_list.update_since(0, 0, 1.0)
    raw = control_messages.encode(whole)
    print(
        f"full list encoded: {cpu_ms(lambda: control_messages.encode(whole), 3):.1f} ms, {len(raw)} bytes, "
        f"{len(zlib.compress(raw, 1))} with zlib"
    )
    print(f"full list decoded: {cpu_ms(lambda: control_messages.decode(raw), 3):.1f} ms")
    before = resident_mib()
    apply_ms = cpu_ms(lambda: state.apply_endpoint_list(control_messages.decode(raw)))
    print(f"edge applies the full list: {apply_ms:.1f} ms, {resident_mib() - before:.1f} MB more")
    base = endpoint_list.version
    entries[5] = {**entries[5], "state": "draining"}
    print(f"core applies one changed entry: {cpu_ms(lambda: endpoint_list.apply_poll(2.0, entries)):.1f} ms")
    delta = endpoint_list.update_since(*base, 2.0)
    small = control_messages.encode(delta)
    create_ms = cpu_ms(lambda: endpoint_list.update_since(*base, 2.0), 100)
    print(f"delta of one entry: {create_ms:.4f} ms to create, {len(small)} bytes")
    apply_ms = cpu_ms(lambda: state.apply_endpoint_list(control_messages.decode(small)), 3)
    print(f"edge applies a delta of one entry: {apply_ms:.1f} ms")


def measure_configuration(options) -> None:
    from shedgrade.configuration import parse
    from shedgrade.served_routes import Routes

    raw = configuration(options.routes)
    packed = zlib.compress(raw, 1)
    print(
        f"{options.routes} routes: {len(raw)} bytes, {len(packed)} with zlib; "
        f"compressed in {cpu_ms(lambda: zlib.compress(raw, 1)):.1f} ms, "
        f"decompressed in {cpu_ms(lambda: zlib.decompress(packed)):.1f} ms"
    )
    regions = {name: number for number, name in enumerate(sorted(set(zones().values())))}
    gc.collect()
    before, results = resident_mib(), []
    took = cpu_ms(lambda: results.append(Routes(parse(raw), regions)))
    print(f"edge parses it and builds its routes: {took:.1f} ms, {resident_mib() - before:.1f} MB more")
    print(f"of this, parsing of the JSON (json.loads): {cpu_ms(lambda: json.loads(raw)):.1f} ms")
    random, routes = Random(1), results[0]
    lookups = [
        (
            b"h%d.example" % random.randrange(HOSTS),
            b"/tenant-%d/chat" % random.randrange(options.routes // HOSTS),
        )
        for _ in range(20_000)
    ]
    print(f"lookup of a route: {cpu_ms(lambda: [routes.find(*one) for one in lookups]) / 20:.2f} us")
    from shedgrade.controlplane.configuration_validation import read_configuration

    before = resident_mib()
    print(
        f"core reads and validates it: {cpu_ms(lambda: results.append(read_configuration(raw))):.1f} ms, "
        f"{resident_mib() - before:.1f} MB more"
    )


def measure_choose(options) -> None:
    from shedgrade.load_balancing import COMPLETED, READY
    from shedgrade.model_routing import IDEMPOTENT, RoutingConstraints, ServingBalancer
    from shedgrade.model_routing.retry_budget import RetryBudget

    names = sorted(set(zones().values()))
    for count, regions in ((options.upstreams // REGIONS, 1), (options.upstreams, REGIONS)):
        balancer = ServingBalancer(names, 0, 7, 0, RetryBudget(0.2, 52, 100_000), "edge-1")
        rows = [(index, index % regions, READY, 0, 0, 1000 + index, 1.0, 0) for index in range(count)]
        took = cpu_ms(lambda b=balancer, r=rows: b.list_changed(0, r, True, False))
        print(f"list of {count} upstreams in {regions} regions applied: {took:.1f} ms")
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

            cpu_ms(one, 5000)
            print(
                f"request admitted, sent, ended, 60 in flight, {shared}: {cpu_ms(one, 10_000) * 1000:.1f} us"
            )


def measure_hub(options) -> None:
    from shedgrade import control_messages
    from shedgrade.control_messages import READY, EdgeStatus, WatchRequest
    from shedgrade.controlplane.endpoint_list import EndpointList
    from shedgrade.controlplane.watch_hub import WatchHub
    from shedgrade.peer_transport import frames

    hub, count, responses = WatchHub(0.0), options.edges, []
    hub.set_members(0.0, tuple(f"10.0.0.{number}:7300" for number in range(5)))
    endpoint_list = EndpointList(lambda: 0.0)
    endpoint_list.begin_term(1)
    entries = endpoint_entries(options.upstreams)
    endpoint_list.apply_poll(0.0, entries)
    hub.set_endpoint_list(0.0, endpoint_list)

    raw = configuration(20)

    def control(sequence):
        state = {"configuration": raw, "version": b"%d" % sequence, "evacuations": b"[]"}
        hub.apply_control_state(0.0, 1, sequence, state)

    def add_watch_requests(now, sequence):
        for number in range(count):
            zone = f"zone-{number % ZONES}"
            edge = EdgeStatus(f"edge-{number}", "10.1.0.12:8263", zone, "region-0", 1, READY)
            watch_request = WatchRequest(edge, (1, sequence), endpoint_list.version, 1.2, sequence, 0.1)
            body = frames.encode("10.1.0.12:7300", 5, False, b"K" + control_messages.encode(watch_request))
            bodies.append(body[4:])

    def answer(response):
        responses.append(frames.encode("10.0.0.1:7300", 5, True, b"K" + control_messages.encode(response)))

    control(1)
    bodies: list[bytes] = []
    add_watch_requests(0.0, 1)
    before = resident_mib()

    def handle_requests():
        for body in bodies:
            hub.watch(0.1, control_messages.decode(frames.decode(body).body[1:]), answer)

    print(
        f"{count} watch requests read and parked: {cpu_ms(handle_requests) / count * 1000:.0f} us each, "
        f"request of {len(bodies[0])} bytes, {resident_mib() - before:.1f} MB"
    )
    took = cpu_ms(lambda: hub.tick(1.5))
    print(f"answered at the end of their wait: {took / count * 1000:.0f} us each, {len(responses[-1])} bytes")
    handle_requests()
    took = cpu_ms(lambda: control(2))
    print(f"configuration of {len(raw)} bytes sent to all: {took:.1f} ms, {len(responses[-1])} bytes each")
    bodies.clear()
    add_watch_requests(0.0, 2)
    handle_requests()
    entries[5] = {**entries[5], "state": "draining"}
    endpoint_list.apply_poll(1.0, entries)
    took = cpu_ms(lambda: hub.set_endpoint_list(1.0, endpoint_list))
    print(f"delta of one upstream sent to all: {took:.1f} ms, {len(responses[-1])} bytes each")
    report = control_messages.encode(hub.edges.own_edges(1.0))
    took = cpu_ms(lambda: control_messages.encode(hub.edges.own_edges(1.0)))
    print(f"report of {count} edges to another member: {took:.1f} ms, {len(report)} bytes")


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
    before = resident_mib()
    views = {node.address: PartialView(node, Random(random.random()), 0.0) for node in nodes}
    for view in views.values():
        view.add_contacts(nodes[:3])
    sent = bytes_sent = 0
    begun = process_time()
    for step in range(seconds * 20):
        now = step / 20
        if step == seconds * 10:  # the views fill during the first half, which is not measured
            sent = bytes_sent = 0
            begun = process_time()
        due = [view for view in views.values() if view.wake_at() <= now]
        for view in due:
            view.tick(now)
        busy = list(views.values())
        while busy:
            receiving_views = []
            for view in busy:
                instructions, view.instructions[:] = list(view.instructions), []
                for effect in instructions:
                    sent, bytes_sent = sent + 1, bytes_sent + len(effect.body)
                    if effect.address in views:
                        views[effect.address].receive(now, view.table.own_node.address, effect.body)
                        receiving_views.append(views[effect.address])
            busy = receiving_views
    half = seconds / 2
    print(
        f"{count} views, per view and second: {(process_time() - begun) / half / count * 1000:.2f} ms, "
        f"{sent / half / count:.1f} messages, {bytes_sent / half / count:.0f} bytes sent; "
        f"{(resident_mib() - before) / count * 1024:.0f} KB per view"
    )
    counts = sorted(view.count("edge") for view in views.values())
    print(f"number of edges as a view estimates it, median: {counts[count // 2]} of {count}")


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
