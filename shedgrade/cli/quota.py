"""`shedgrade quota check|explain`."""

from heapq import heappop, heappush
from itertools import count
from pathlib import Path
from typing import Annotated

import typer

from shedgrade.cli import fail
from shedgrade.sidecar.lifecycle.features import load_features
from shedgrade.sidecar.quota.accounts import Account
from shedgrade.sidecar.quota.config import Quota
from shedgrade.sidecar.quota.gate import Gate
from shedgrade.sidecar.quota.limits import Limit
from shedgrade.sidecar.quota.tree import Ticket
from shedgrade.upstream_pool.errors import ConfigError

app = typer.Typer(
    help="Nested quotas of a features file.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
File = Annotated[Path, typer.Argument(help="A features file with [quota].")]


def read(path: Path) -> Quota:
    try:
        quota = load_features(path).quota
    except ConfigError as wrong:
        fail(wrong)
    if quota is None:
        fail(ValueError(f"{path}: no [quota]"))
    return quota


def spell(limit: Limit) -> str:
    return f"{limit.dimension}{f' in {limit.window / 10_000:g} s' if limit.window else ''}"


@app.command()
def check(path: File) -> None:
    """Reads it as a start would; exit 2 and one line if it is not sound. Prints the tree."""
    gate = Gate(read(path), 0)
    for node in gate.tree.root.walk():
        told = ", ".join(
            f"{spell(one)} {account.ceiling}"
            + (f" ({account.guarantee} kept)" if account.guarantee else "")
            + (
                f" (lends to {', '.join(sorted(account.lends_to)) or 'nobody'})"
                if account.lends_to is not None
                else ""
            )
            for one, account in ((one, node.accounts[one.key]) for one in node.limits)
        )
        weight = f", weight {node.limits[0].weight}" if node.limits and node.limits[0].weight > 1 else ""
        made = ", template" if node.template else ""
        print(f"{node.full_name()}: {told or 'no limit of its own'}{weight}{made}")


def rights(account: Account, now: int) -> str:
    """Where it stands among its siblings."""
    parts = [f"used {account.used(now)} of {account.ceiling}"]
    if account.parent is not None:
        if account.guarantee:
            parts.append(f"its own {account.entitlement()}")
        if account.debt:
            parts.append(f"owes {account.debt}")
        pool = account.pool
        parts.append(
            f"{account.parent.name} {account.parent.used(now)} of {account.parent.ceiling}, "
            f"{pool.unused - account.unused} left to siblings"
        )
        if pool.is_recalling(now):
            parts.append("nothing is lent now")
        if pool.pacing.must_yield(now, account):
            parts.append("ahead of its pace")
    return ", ".join(parts)


@app.command()
def explain(
    path: File,
    who: Annotated[
        str, typer.Option("--as", help="ORG/CHAIN/STORE, for rows of the trace that name nobody.")
    ],
    trace: Annotated[Path, typer.Option(help="A trace as the lab writes it.")],
) -> None:
    """Why each RPC of a trace would be admitted or refused. Rows with a `who` of their own are asked for by
    that identity, so that siblings show."""
    from shedgrade.lab.scenario import ScenarioError
    from shedgrade.lab.trace import read as read_trace

    gate = Gate(read(path), 0)
    try:
        rows = read_trace(trace)
    except ScenarioError as wrong:
        fail(wrong)
    waiting, admitted, order = [], 0, count()

    def names(text: str) -> list[str]:
        found = [name for name in text.split("/") if name]
        return found if len(found) == len(gate.identity_names) else []

    for row in sorted(rows, key=lambda one: one.at_ms):
        now = round(row.at_ms * 10)
        while waiting and waiting[0][0] <= now:
            end, _, ticket, work = heappop(waiting)
            ticket.settle(end, {"work": work})
        origin = row.who
        leaf = gate.tree.find(now, names(origin or who), gate.default_leaf)
        work = max(1, round(row.work_ms or gate.quota.estimate_ms))
        got = gate.tree.admit(
            now, leaf, {"requests": 1, "work": round(gate.quota.estimate_ms)}, is_retry=bool(row.retry_of)
        )
        if isinstance(got, Ticket):
            admitted += 1
            heappush(waiting, (now + work * 10, next(order), got, work))
            print(f"{row.at_ms:.0f} ms {row.id}: admitted as {leaf.full_name()}")
            continue
        account = next((one for one in leaf.path if one.name == got.node and one.limit == got.limit), None)
        when = f"; room at {got.retry_at / 10:.0f} ms" if got.retry_at is not None else ""
        why = "among its siblings" if got.by_siblings else "itself full"
        called = ", within its own: what was lent is called back" if got.within_entitlement else ""
        where = rights(account, now) if account is not None else ""
        print(
            f"{row.at_ms:.0f} ms {row.id}: refused by {got.node}: {spell(got.limit)}, ceiling "
            f"{got.limit.ceiling}, {why}{called}: {where}{when}"
        )
    print(f"{admitted} of {len(rows)} admitted")
    for node in gate.tree.root.walk():
        for account in node.accounts.values():
            for debt in account.children_pool.repayment.history if account.children_pool is not None else ():
                paid = debt.paid_at
                end = f"repaid at {paid / 10:.0f} ms" if paid is not None else "not yet repaid"
                print(
                    f"{debt.at / 10:.0f} ms: {debt.borrower} owes {debt.lender} {debt.amount} "
                    f"{spell(account.limit)}, due {debt.due / 10:.0f} ms, {end}"
                )
