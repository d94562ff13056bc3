"""Figures of quotas: `python benchmarks/quotas.py flood|cost`. On this machine, loopback.

flood   three organisations behind one sidecar, one flooding, against no quota, flat ones and no lending
lend    the same three organisations in simulated time, each awake and asleep by chance for five minutes
cost    CPU of an admission at depth 3 with 10, 1,000 and 50,000 leaves, and memory a leaf (minutes)
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


def most_in_any(times: list[float], window: float) -> int:
    """The most that any interval of this length holds."""
    times, start, most = sorted(times), 0, 0
    for end, at in enumerate(times):
        while times[start] <= at - window:
            start += 1
        most = max(most, end - start + 1)
    return most


def flood(place: Path, lanes: int) -> list[str]:
    rows = [
        "| variant | ash | oak | flood | served a second | Jain | most in 1 s (limit 450) | in 5 s (2,200) "
        "| refused after, p99 ms | breaches |",
        "|" + " --- |" * 10,
    ]
    found = experiments.run_rounds(variants(), 1, place, lanes, lambda line: print(line, file=sys.stderr))
    for name, runs in found.items():
        if runs[0] is None:
            rows.append(f"| {name} | no result |" + " |" * 8)
            continue
        folder = max(place.glob(f"{name}-0*"), key=os.path.getmtime)
        records = list(results.records(folder))
        tries = {one["id"]: one for one in records if one["k"] == "try"}
        kinds = {one["rpc"]: one["kind"] for one in tries.values()}
        asked, good = [0] * 3, [0] * 3
        for one in records:
            if one["k"] == "rpc" and one["due"] >= 2.0:
                kind = kinds[one["rpc"]]
                asked[kind] += 1
                good[kind] += one["how"] == "served" and one["end"] - one["due"] <= 0.4
        shares = [served / max(1, count) for served, count in zip(good, asked, strict=True)]
        first = {}
        for one in records:
            if one["k"] == "tx":
                first[one["id"]] = min(first.get(one["id"], 1e9), one["begun"])
        times = list(first.values())
        late = sorted(
            (one["end"] - one["sent"]) * 1000
            for one in tries.values()
            if one["how"] == "refused" and one["sent"]
        )
        jain = sum(shares) ** 2 / (3 * sum(share**2 for share in shares) or 1)
        rows.append(
            f"| {name} | "
            + " | ".join(f"{share:.3f}" for share in shares)
            + f" | {sum(good) / 13:.0f} | {jain:.2f} | {most_in_any(times, 1.0)} | {most_in_any(times, 5.0)} "
            f"| {late[int(len(late) * 0.99)] if late else 0:.0f} | {len(runs[0]['breaches'])} |"
        )
    return rows


def cost(leaves: int, count: int = 20_000, guaranteed: bool = False) -> dict:
    """Three levels, two to three limits each on the way down; all leaves have been used once. With
    `guaranteed`, every chain has a part that its siblings keep for it."""
    kept = 10**6 if guaranteed else 0
    chains = max(1, leaves // 100)
    ceiling = 10**9
    limits = (
        Limit("requests", 10_000, ceiling),
        Limit("requests", 600_000, ceiling),
        Limit("work", 10_000, ceiling),
    )
    root = Node("all", None, limits)
    inner = (Limit("requests", 10_000, ceiling, kept), Limit("requests", 600_000, ceiling, kept), limits[2])

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
        "us an admission, settled": round((time.process_time() - begun) / count * 1e6, 1),
        "bytes a leaf, unused": round(empty),
        "used": round(used),
    }


def lend(reserve: int, guarantees: tuple[int, int, int] = (150, 150, 150), length: int = 3_000_000) -> dict:
    """Organisations of 1,500, 300 and 300 a second while awake, under a parent of 450 a second; 1 s
    windows.
    """
    chance = Random(4)
    root = Node("all", None, (Limit("requests", 10_000, 450),), LendingTerms(reserve, 10))
    nodes = [
        Node(name, root, (Limit("requests", 10_000, 450, kept),))
        for name, kept in zip(("flood", "ash", "oak"), guarantees, strict=True)
    ]
    tree, rates = Tree(root), (1500, 300, 300)
    asked, got, own, own_got, log = [0] * 3, [0] * 3, [0] * 3, [0] * 3, []
    awake, change = [True, False, False], [0.0] * 3
    due, now = [chance.expovariate(rate / 10_000) for rate in rates], 0.0
    while now < length:
        number = min(range(3), key=due.__getitem__)
        now = due[number]
        due[number] += chance.expovariate(rates[number] / 10_000)
        if number and now >= change[number]:
            awake[number] = not awake[number]
            change[number] = now + chance.expovariate(1 / 80_000)  # 8 s on average
        if not awake[number]:
            continue
        account = nodes[number].accounts["requests", 10_000]
        within = account.used(int(now)) < account.guarantee
        asked[number] += 1
        own[number] += within
        if isinstance(tree.admit(int(now), nodes[number], {"requests": 1}), Ticket):
            got[number] += 1
            own_got[number] += within
            log.append(now)
    pool = root.accounts["requests", 10_000].children_pool
    pool.advance(int(now) + 200_000)
    shares = [
        served / max(1, min(wanted, kept * length / 10_000))
        for served, wanted, kept in zip(got, asked, guarantees, strict=True)
    ]
    late = [
        debt for debt in pool.repayment.debt_history if debt.paid_at is None or debt.paid_at > debt.due_at
    ]
    return {
        "reserve": reserve / 1000,
        "served a second": round(len(log) / length * 10_000),
        "flood, ash, oak": [round(one / length * 10_000) for one in got],
        "of what is within their own, ash, oak": [
            round(one / max(1, all_), 4) for one, all_ in zip(own_got[1:], own[1:], strict=True)
        ],
        "Jain": round(sum(shares) ** 2 / (3 * sum(share**2 for share in shares)), 3),
        "most in 1 s (450)": most_in_any(log, 10_000),
        "debts kept": len(pool.repayment.debt_history),
        "repaid late": len(late),
        "longest until repaid, s (due in 10.5)": max(
            ((debt.paid_at - debt.created_at) / 10_000 for debt in pool.repayment.debt_history), default=0
        ),
    }


def main() -> None:
    what = sys.argv[1] if len(sys.argv) > 1 else ""
    if what == "flood":
        with tempfile.TemporaryDirectory() as place:
            print("\n".join(flood(Path(place), int(os.environ.get("LANES", "1")))))
    elif what == "lend":
        for name, reserve, guarantees in (
            ("no guarantees", 0, (0, 0, 0)),
            ("no lending", 1000, (150, 150, 150)),
            ("all is lent", 0, (150, 150, 150)),
            ("as shipped", 250, (150, 150, 150)),
        ):
            print(name, lend(reserve, guarantees))
    elif what == "cost":
        for guaranteed in (False, True):
            for leaves in (10, 1_000, 50_000):
                print(cost(leaves, guaranteed=guaranteed))
    else:
        print(__doc__)
        sys.exit(2)


if __name__ == "__main__":
    main()
