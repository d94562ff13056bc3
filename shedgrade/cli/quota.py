"""The commands `shedgrade quota check` and `shedgrade quota explain`."""

from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from shedgrade.cli import fail
from shedgrade.sidecar.lifecycle.features import load_features
from shedgrade.sidecar.quota.accounts import Account
from shedgrade.sidecar.quota.config import Quota
from shedgrade.sidecar.quota.gate import Gate
from shedgrade.sidecar.quota.limits import Limit
from shedgrade.sidecar.quota.repayment import Debt
from shedgrade.sidecar.quota.tree import Node, Refusal, Ticket
from shedgrade.upstream_pool.errors import ConfigError

if TYPE_CHECKING:
    from shedgrade.lab.trace import Row

app = typer.Typer(
    help="Nested quotas of a features file.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
File = Annotated[Path, typer.Argument(help="A features file with [quota].")]


def load_quota(path: Path) -> Quota:
    """Returns the table `[quota]` of a features file; exits with 2 if there is none or it is invalid."""
    try:
        quota = load_features(path).quota
    except ConfigError as error:
        fail(error)
    if quota is None:
        fail(ValueError(f"{path}: the file has no table [quota]"))
    return quota


def format_limit(limit: Limit) -> str:
    """Returns a limit's dimension and window as text."""
    return f"{limit.dimension}{f' in {limit.window / 10_000:g} s' if limit.window else ''}"


@app.command()
def check(path: File) -> None:
    """Checks the file as a start does, and prints the tree; exits with 2 and one line if it is invalid."""
    gate = Gate(load_quota(path), 0)
    for node in gate.tree.root.walk():
        limits_text = ", ".join(
            f"{format_limit(limit)} {account.ceiling}"
            + (f" (guarantee {account.guarantee})" if account.guarantee else "")
            + (
                f" (lends to {', '.join(sorted(account.lends_to)) or 'nobody'})"
                if account.lends_to is not None
                else ""
            )
            for limit, account in ((limit, node.accounts[limit.key]) for limit in node.limits)
        )
        weight = f", weight {node.limits[0].weight}" if node.limits and node.limits[0].weight > 1 else ""
        template_note = ", template" if node.template else ""
        print(f"{node.full_name()}: {limits_text or 'no limit of its own'}{weight}{template_note}")


def describe_account(account: Account, now: int) -> str:
    """Describes the account's use, entitlement and debts, and the room beside its siblings."""
    parts = [f"used {account.used(now)} of {account.ceiling}"]
    pool = account.pool
    if account.parent is not None and pool is not None:
        if account.guarantee:
            parts.append(f"entitled to {account.entitlement()}")
        if account.debt:
            parts.append(f"owes {account.debt}")
        parts.append(
            f"{account.parent.name} {account.parent.used(now)} of {account.parent.ceiling}, "
            f"{pool.unused - account.unused} of siblings' entitlements unused"
        )
        if pool.is_recalling(now):
            parts.append("lending is suspended by a recall")
        if pool.pacing.must_yield(now, account):
            parts.append("ahead of its fair pace")
    return ", ".join(parts)


@app.command()
def explain(
    path: File,
    default_identity: Annotated[
        str, typer.Option("--as", help="Identity ORG/CHAIN/STORE for rows of the trace that have none.")
    ],
    trace: Annotated[Path, typer.Option(help="A trace in the format of the lab.")],
) -> None:
    """Prints why each RPC of a trace would be admitted or refused. A row with an identity of its own (`who`)
    is replayed under it, so that the effect of siblings shows."""
    from shedgrade.lab.scenario import ScenarioError
    from shedgrade.lab.trace import read as read_trace

    gate = Gate(load_quota(path), 0)
    try:
        rows = read_trace(trace)
    except ScenarioError as error:
        fail(error)
    admitted = sum(replay(gate, sorted(rows, key=lambda row: row.at_ms), default_identity))
    print(f"{admitted} of {len(rows)} admitted")
    for node in gate.tree.root.walk():
        for account in node.accounts.values():
            if account.children_pool is not None:
                for debt in account.children_pool.repayment.debt_history:
                    print(describe_debt(debt, account.limit))


def replay(gate: Gate, rows: list["Row"], default_identity: str) -> Iterator[bool]:
    """Replays each row in turn; prints and yields whether it was admitted.

    An admitted row is settled when its work is done.
    """
    running: list[tuple[int, int, Ticket, int]] = []  # a heap of (end, order, ticket, work)
    order = count()
    for row in rows:
        now = round(row.at_ms * 10)
        while running and running[0][0] <= now:
            end, _, ticket, work = heappop(running)
            ticket.settle(end, {"work": work})
        leaf = gate.tree.find(now, parse_identity(gate, row.who or default_identity), gate.default_leaf)
        work = max(1, round(row.work_ms or gate.quota.estimate_ms))
        amounts = {"requests": 1, "work": round(gate.quota.estimate_ms)}
        decision = gate.tree.admit(now, leaf, amounts, is_retry=bool(row.retry_of))
        if isinstance(decision, Ticket):
            heappush(running, (now + work * 10, next(order), decision, work))
            print(f"{row.at_ms:.0f} ms {row.id}: admitted as {leaf.full_name()}")
        else:
            print(f"{row.at_ms:.0f} ms {row.id}: {describe_refusal(decision, leaf, now)}")
        yield isinstance(decision, Ticket)


def parse_identity(gate: Gate, text: str) -> list[str]:
    """Splits ORG/CHAIN/STORE into names; [] if there are more or fewer than the configured identity has."""
    names = [name for name in text.split("/") if name]
    return names if len(names) == len(gate.identity_names) else []


def describe_refusal(refusal: Refusal, leaf: Node, now: int) -> str:
    """Describes which limit refused and why, the use and debts of its account, and when there may be room."""
    limit = refusal.limit
    account = next(
        (candidate for candidate in leaf.path if candidate.name == refusal.node and candidate.limit == limit),
        None,
    )
    room_at = f"; room at {refusal.retry_at / 10:.0f} ms" if refusal.retry_at is not None else ""
    reason = "no room beside its siblings" if refusal.by_siblings else "its ceiling is reached"
    recall = ", within its entitlement: loans are recalled" if refusal.within_entitlement else ""
    position = describe_account(account, now) if account is not None else ""
    return (
        f"refused by {refusal.node}: {format_limit(limit)}, ceiling {limit.ceiling}, "
        f"{reason}{recall}: {position}{room_at}"
    )


def describe_debt(debt: Debt, limit: Limit) -> str:
    """Describes a debt: borrower, lender, amount, due time, and whether it was repaid."""
    paid_at = debt.paid_at
    state = f"repaid at {paid_at / 10:.0f} ms" if paid_at is not None else "not yet repaid"
    return (
        f"{debt.created_at / 10:.0f} ms: {debt.borrower} owes {debt.lender} {debt.amount} "
        f"{format_limit(limit)}, "
        f"due {debt.due_at / 10:.0f} ms, {state}"
    )
