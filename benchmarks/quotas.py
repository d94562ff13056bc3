"""Benchmarks of quotas on loopback: `python benchmarks/quotas.py flood|lend|cost`.

flood   three organisations behind one sidecar, one flooding: without quotas, with flat limits, without lending
lend    the same three organisations for five minutes of simulated time, two of them active at random times
cost    CPU of an admission at depth 3 with 10, 1,000 and 50,000 leaves, and memory per leaf; takes minutes
"""

# ruff: noqa: E501
import copy
import os
import sys
import tempfile
import time
import tracemalloc
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from shedgrade.lab import experiments, results
from shedgrade.lab.scenario import convert
from shedgrade.sidecar.quota.limits import LendingTerms, Limit
from shedgrade.sidecar.quota.tree import Node, Ticket, Tree

ROOT = Path(__file__).resolve().parents[1]


def variants() -> list:
    import tomllib

    base = tomllib.loads((ROOT / "scenarios/quota-flood.toml").read_text())
    found = []
    for name in ("ash and oak alone", "no quota", "flat, a bucket a store", "no lending", "as shipped"):
        tree = copy.deepcopy(base)
        quota = tree["sidecars"]["quota"]
        if name == "ash and oak alone":
            tree["load"]["classes"][2]["share"] = 0.001
            tree["load"]["shapes"][0]["rate"] = 100.0
        if name in ("ash and oak alone", "no quota"):
            del tree["sidecars"]["quota"]
        elif name == "flat, a bucket a store":
            for child in quota["tree"]["children"].values():
                child["template"]["limits"][0]["ceiling"] = 150
                child["limits"] = []
            quota["tree"]["limits"] = []
        elif name == "no lending":
            quota["reserve"] = 1.0
        found.append((name, convert(tree, name)))
    return found


def max_in_window(times: list[float], window: float) -> int:
    """Returns the largest number of times within any interval of length `window`."""
    times, start, most = sorted(times), 0, 0
    for end, at in enumerate(times):
        while times[start] <= at - window:
            start += 1
        most = max(most, end - start + 1)
    return most


def flood(place: Path, lanes: int) -> list[str]:
    rows = [
        "| variant | ash | oak | flood | served per second | Jain | max in 1 s (limit 450) | in 5 s (2,200) "
        "| refusal delay, p99 ms | breaches |",
        "|" + " --- |" * 10,
    ]
    found = experiments.run_rounds(variants(), 1, place, lanes, lambda line: print(line, file=sys.stderr))
    for name, runs in found.items():
        if runs[0] is None:
            rows.append(f"| {name} | no result |" + " |" * 8)
            continue
        folder = max(place.glob(f"{name}-0*"), key=os.path.getmtime)
        records = list(results.records(folder))
        tries = {record["id"]: record for record in records if record["k"] == "try"}
        kinds = {record["rpc"]: record["kind"] for record in tries.values()}
        requested, served_in_time = [0] * 3, [0] * 3
        for record in records:
            if record["k"] == "rpc" and record["due"] >= 2.0:
                kind = kinds[record["rpc"]]
                requested[kind] += 1
                served_in_time[kind] += record["how"] == "served" and record["end"] - record["due"] <= 0.4
        shares = [served / max(1, count) for served, count in zip(served_in_time, requested, strict=True)]
        first_sent_at = {}
        for record in records:
            if record["k"] == "tx":
                first_sent_at[record["id"]] = min(first_sent_at.get(record["id"], 1e9), record["begun"])
        times = list(first_sent_at.values())
        refusal_delays = sorted(
            (record["end"] - record["sent"]) * 1000
            for record in tries.values()
            if record["how"] == "refused" and record["sent"]
        )
        jain = sum(shares) ** 2 / (3 * sum(share**2 for share in shares) or 1)
        rows.append(
            f"| {name} | "
            + " | ".join(f"{share:.3f}" for share in shares)
            + f" | {sum(served_in_time) / 13:.0f} | {jain:.2f} | {max_in_window(times, 1.0)} | {max_in_window(times, 5.0)} "
            f"| {refusal_delays[int(len(refusal_delays) * 0.99)] if refusal_delays else 0:.0f} | {len(runs[0]['breaches'])} |"
        )
    return rows


def cost(leaves: int, count: int = 20_000, guaranteed: bool = False) -> dict:
    """Measures admissions in a tree of three levels with two or three limits a node; all leaves are in use.

    `guaranteed`: whether siblings reserve a guaranteed part for each chain.
    """
    guarantee = 10**6 if guaranteed else 0
    chains = max(1, leaves // 100)
    ceiling = 10**9
    limits = (
        Limit("requests", 10_000, ceiling),
        Limit("requests", 600_000, ceiling),
        Limit("work", 10_000, ceiling),
    )
    root = Node("all", None, limits)
    inner = (
        Limit("requests", 10_000, ceiling, guarantee),
        Limit("requests", 600_000, ceiling, guarantee),
        limits[2],
    )

    def make(parent: Node, name: str) -> Node:
        node = Node(name, parent, inner if parent is root else limits[:2])
        node.template = parent is root
        return node

    root.template = True
    tree = Tree(root, make, max_dynamic_leaves=10**6)
    names = [[f"chain{number % chains}", f"store{number}"] for number in range(leaves)]
    for number in range(chains):
        tree.find(0, names[number][:1], root)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    found = [tree.find(0, name, root) for name in names]
    empty = (tracemalloc.get_traced_memory()[0] - before) / leaves
    for node in found:
        tree.admit(0, node, {"requests": 1}).settle(0, {})
    used = (tracemalloc.get_traced_memory()[0] - before) / leaves
    tracemalloc.stop()
    begun = time.process_time()
    for number in range(count):
        now = number * 3
        node = tree.find(now, names[number * 7919 % leaves], root)
        tree.admit(now, node, {"requests": 1, "work": 20}).settle(now, {"work": 25})
    return {
        "leaves": leaves,
        "chains": chains,
        "guaranteed": guaranteed,
        "us per admission with settlement": round((time.process_time() - begun) / count * 1e6, 1),
        "bytes per unused leaf": round(empty),
        "used": round(used),
    }


def lend(reserve: int, guarantees: tuple[int, int, int] = (150, 150, 150), length: int = 3_000_000) -> dict:
    """Simulates organisations of 1,500, 300 and 300 requests a second under a limit of 450 a second.

    The window is 1 s. The first organisation is always active, the others are active at random times.
    `reserve`: part of each guarantee that is never lent, in thousandths. `length`: ticks of 0.1 ms.
    """
    random = Random(4)
    root = Node("all", None, (Limit("requests", 10_000, 450),), LendingTerms(reserve, 10))
    nodes = [
        Node(name, root, (Limit("requests", 10_000, 450, guarantee),))
        for name, guarantee in zip(("flood", "ash", "oak"), guarantees, strict=True)
    ]
    tree, rates = Tree(root), (1500, 300, 300)
    requested, admitted, requested_within, admitted_within, admitted_at = (
        [0] * 3,
        [0] * 3,
        [0] * 3,
        [0] * 3,
        [],
    )
    active, next_change = [True, False, False], [0.0] * 3
    due, now = [random.expovariate(rate / 10_000) for rate in rates], 0.0
    while now < length:
        number = min(range(3), key=due.__getitem__)
        now = due[number]
        due[number] += random.expovariate(rates[number] / 10_000)
        if number and now >= next_change[number]:
            active[number] = not active[number]
            next_change[number] = now + random.expovariate(1 / 80_000)  # 8 s on average
        if not active[number]:
            continue
        account = nodes[number].accounts["requests", 10_000]
        within = account.used(int(now)) < account.guarantee
        requested[number] += 1
        requested_within[number] += within
        if isinstance(tree.admit(int(now), nodes[number], {"requests": 1}), Ticket):
            admitted[number] += 1
            admitted_within[number] += within
            admitted_at.append(now)
    pool = root.accounts["requests", 10_000].children_pool
    pool.advance(int(now) + 200_000)
    shares = [
        served / max(1, min(wanted, guarantee * length / 10_000))
        for served, wanted, guarantee in zip(admitted, requested, guarantees, strict=True)
    ]
    repaid_late = [
        debt for debt in pool.repayment.debt_history if debt.paid_at is None or debt.paid_at > debt.due_at
    ]
    return {
        "reserve": reserve / 1000,
        "served per second": round(len(admitted_at) / length * 10_000),
        "flood, ash, oak": [round(one / length * 10_000) for one in admitted],
        "served share of requests within guarantees, ash, oak": [
            round(one / max(1, all_), 4)
            for one, all_ in zip(admitted_within[1:], requested_within[1:], strict=True)
        ],
        "Jain": round(sum(shares) ** 2 / (3 * sum(share**2 for share in shares)), 3),
        "max in 1 s (limit 450)": max_in_window(admitted_at, 10_000),
        "debts": len(pool.repayment.debt_history),
        "repaid late": len(repaid_late),
        "longest until repaid, s (limit 10.5)": max(
            ((debt.paid_at - debt.created_at) / 10_000 for debt in pool.repayment.debt_history), default=0
        ),
    }


def main() -> None:
    benchmark = sys.argv[1] if len(sys.argv) > 1 else ""
    if benchmark == "flood":
        with tempfile.TemporaryDirectory() as place:
            print("\n".join(flood(Path(place), int(os.environ.get("LANES", "1")))))
    elif benchmark == "lend":
        for name, reserve, guarantees in (
            ("no guarantees", 0, (0, 0, 0)),
            ("no lending", 1000, (150, 150, 150)),
            ("all is lent", 0, (150, 150, 150)),
            ("as shipped", 250, (150, 150, 150)),
        ):
            print(name, lend(reserve, guarantees))
    elif benchmark == "cost":
        for guaranteed in (False, True):
            for leaves in (10, 1_000, 50_000):
                print(cost(leaves, guaranteed=guaranteed))
    else:
        print(__doc__)
        sys.exit(2)


if __name__ == "__main__":
    main()
