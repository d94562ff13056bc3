"""Benchmarks of capture on loopback: `python benchmarks/capture.py deploy|cost|calls`.

deploy  captures an overlapping deploy and shrink on real sockets and replays it `TIMES` times (default 100)
cost    CPU of the sidecar per RPC: capture off, to memory, to files; `ROUNDS` paired runs, `LANES` at a time
calls   the recorder without sockets: added CPU per RPC, bytes per RPC, cost of a checkpoint

TIMES, ROUNDS and LANES are environment variables.
"""

import os
import sys
import tempfile
import time
from pathlib import Path
from random import Random
from types import SimpleNamespace

import msgspec

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from shedgrade import load_balancing
from shedgrade.lab import experiments, runner
from shedgrade.lab import scenario as scenarios
from shedgrade.lab.decisions import settings
from shedgrade.sidecar.capture.files import load
from shedgrade.sidecar.capture.recorder import Recorder
from shedgrade.sidecar.capture.replay import Replay
from shedgrade.sidecar.capture.rows import ADMIT, Ring, calls

ROOT = Path(__file__).resolve().parents[1]


def deploy(place: Path, times: int) -> None:
    summary = runner.run(scenarios.load(ROOT / "scenarios/deploy-shrink.toml"), place / "run")
    print("breaches", len(summary["breaches"]), "no result", summary["no_result"])
    for path in sorted((place / "run").glob("*capture/*.sgc")):
        records, why = load(path)
        rpcs = sum(row[0] == ADMIT for _, row in calls(records))
        begun, differences = time.perf_counter(), 0
        for _ in range(times):
            one = Replay(records)
            differences += len(list(one.run()))
        took = time.perf_counter() - begun
        print(
            {
                "capture": path.parent.name,
                "RPCs": rpcs,
                "calls": one.calls,
                "cut": why,
                "replayed": times,
                "differences": differences,
                "calls per second": round(one.calls * times / took),
                "bytes per RPC": round(path.stat().st_size / max(1, rpcs)),
            }
        )


def cost(place: Path, rounds: int, lanes: int) -> None:
    base = scenarios.load(ROOT / "scenarios/calm.toml")
    variants = [
        (name, msgspec.structs.replace(base, sidecars=msgspec.structs.replace(base.sidecars, capture=name)))
        for name in ("off", "ring", "files")
    ]
    found = experiments.run_rounds(variants, rounds, place, lanes, lambda line: print(line, file=sys.stderr))
    print("\n".join(experiments.comparison_table(found)))


def decision_cpu_us(balancer, rpcs: int, upstreams: int) -> float:
    """Returns the CPU time per RPC of decisions requested as the sidecar requests them, in microseconds."""
    chance = Random(1)
    balancer.list_changed(
        0,
        [(number, number % 4, load_balancing.READY, 0, 0, number, 1.0, 0) for number in range(upstreams)],
        True,
        True,
    )
    now, out, begun = 0, [], time.process_time()
    for number in range(rpcs):
        now += 5
        active_request = SimpleNamespace(request=SimpleNamespace(name=b"%d" % number), rpc=None)
        active_request.rpc = balancer.admit(now, 0, now + 12_000, False, active_request)
        answer = active_request.rpc.decide(now)
        if answer is not None and answer[0] >= 0:
            out.append((now + chance.randrange(50, 300), active_request))
        while out and (out[0][0] <= now or len(out) > upstreams):
            _, ended = out.pop(0)
            ended.rpc.attempt_finished(now, 0, load_balancing.COMPLETED, 200, True)
            ended.rpc.decide(now)
        for rpc in balancer.due(now):
            rpc.tag.rpc.decide(now)
        balancer.take_released()
        if hasattr(balancer, "after_pass"):
            balancer.after_pass(now, 0)
    return (time.process_time() - begun) / rpcs * 1e6


def measure_recorder(rpcs: int = 40_000) -> None:
    for upstreams in (10, 100, 1000):
        pairs = []
        for _ in range(3):
            plain = decision_cpu_us(load_balancing.Balancer(settings(4), 1, 0), rpcs, upstreams)
            ring = Ring(2**26)
            recorder = Recorder(settings(4), 1, 0, ring, most_rows=10**9, checkpoint=10**9)
            pairs.append((plain, decision_cpu_us(recorder, rpcs, upstreams) - plain))
        plain, more = min(pairs), min(pair[1] for pair in pairs)
        before, begun = ring.size, time.perf_counter()
        recorder.take_checkpoint(rpcs * 5)
        print(
            {
                "upstreams": upstreams,
                "decisions us per RPC": round(plain[0], 1),
                "capture us": round(more, 1),
                "bytes per RPC": round(before / rpcs),
                "checkpoint ms": round((time.perf_counter() - begun) * 1e3, 1),
                "checkpoint bytes": ring.size - before,
            }
        )


def main() -> None:
    benchmark = sys.argv[1] if len(sys.argv) > 1 else ""
    with tempfile.TemporaryDirectory() as place:
        if benchmark == "deploy":
            deploy(Path(place), int(os.environ.get("TIMES", "100")))
        elif benchmark == "cost":
            cost(Path(place), int(os.environ.get("ROUNDS", "4")), int(os.environ.get("LANES", "1")))
        elif benchmark == "calls":
            measure_recorder()
        else:
            print(__doc__)
            sys.exit(2)


if __name__ == "__main__":
    main()
