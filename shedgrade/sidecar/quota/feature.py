"""Quotas as a feature of the sidecar: a gate before the platform's own pool, its counts saved where a disk
lasts."""

import time
from typing import TYPE_CHECKING, Any

from loguru import logger

from shedgrade.sidecar.lifecycle.feature import Feature
from shedgrade.sidecar.quota.config import Quota
from shedgrade.sidecar.quota.gate import Gate
from shedgrade.sidecar.quota.state import export, restore

if TYPE_CHECKING:
    from shedgrade.sidecar.lifecycle.features import Features
    from shedgrade.sidecar.lifecycle.sidecar import Sidecar

SAVE_INTERVAL_S = 5.0  # between two records of what was counted and is owed
NODES_LOGGED = 10  # at the end: those that refused most


class QuotaFeature(Feature):
    """Built with the sidecar, updated by a reload, saved now and then and at the end."""

    def __init__(self, sidecar: "Sidecar", quota: Quota) -> None:
        self.sidecar = sidecar
        self.pool = sidecar.pool
        self.methods = sidecar.config.settings["methods"]
        payoffs = tuple(method["payoff"] for method in self.methods)
        self.gate = Gate(quota, sidecar.config.seed, payoffs)
        self.pool.dispatcher.gates = (*self.pool.dispatcher.gates, self.gate)
        self.saved_at = time.monotonic()
        self.refusals_logged = 0
        self.update_count_header(quota)

    def update_count_header(self, quota: Quota) -> None:
        """Upstreams send their counts in a header, where the fleet's limits are split by observation."""
        connections: Any = self.pool.connections  # which is not typed yet
        fleet = quota.fleet
        connections.count_header = fleet.header.lower().encode() if fleet is not None else b""
        connections.count_received = self.gate.record_answer if fleet is not None else None

    def start(self) -> None:
        """Takes over what was saved."""
        logger.info("quotas in force", nodes=sum(1 for _ in self.gate.tree.root.walk()))
        saved = self.pool.saved
        if saved is None or saved.recovered.snapshot.quota is None:
            return
        state = saved.recovered.snapshot.quota
        restored = restore(self.gate.tree, state, self.pool.clock.now(), wall_clock_ms())
        if restored.problem:
            logger.warning("saved quota state not used", error=restored.problem)
        else:
            logger.info("saved quota state restored", counted=restored.counted, owed=restored.owed)

    def reload(self, features: "Features | None") -> None:
        """A reload that was checked. Taking the whole table away is for a start."""
        self.update_methods()
        if features is not None and features.quota is not None:
            forgiven = self.gate.update(features.quota)
            self.update_count_header(features.quota)
            if forgiven:
                logger.warning("quota debts forgiven by a reload", amount=forgiven)

    def update_methods(self) -> None:
        """Methods may have come and gone: the estimate of one that stays stays, under its new number."""
        before = {method["name"]: number for number, method in enumerate(self.methods)}
        self.methods = self.sidecar.config.settings["methods"]
        estimates = self.gate.estimates
        self.gate.estimates = {
            number: estimates[before[method["name"]]]
            for number, method in enumerate(self.methods)
            if before.get(method["name"]) in estimates
        }
        self.gate.payoffs_alike = len({method["payoff"] for method in self.methods}) < 2

    def tick(self) -> None:
        """Now and then: the fleet's share; saves and logs every SAVE_INTERVAL_S."""
        self.gate.refresh_share(wall_clock_ms() * 10, len(self.pool.balancer.upstreams))
        now = time.monotonic()
        if now < self.saved_at + SAVE_INTERVAL_S:
            return
        self.saved_at = now
        self.save()
        refused = self.gate.refused.total()
        if refused > self.refusals_logged:
            node, _ = self.gate.refused.most_common(1)[0]
            logger.info(
                "quota refusals",
                refused=refused - self.refusals_logged,
                period_s=SAVE_INTERVAL_S,
                most_by=node,
            )
            self.refusals_logged = refused

    def save(self) -> None:
        """Hands the counts to the saved list, if there is one."""
        if self.pool.saved is not None:
            self.pool.saved.save_quota(export(self.gate.tree, self.pool.clock.now(), wall_clock_ms()))

    def close(self) -> None:
        """The sidecar ends: saves, and logs debts and refusals."""
        self.save()
        debts = list(self.gate.tree.debts())
        if debts:
            logger.info(
                "quota debts at the end",
                debts=len(debts),
                repaid=sum(one.paid_at is not None for one in debts),
                repaid_late=sum(one.paid_at is not None and one.paid_at > one.due for one in debts),
                forgiven=sum(one.forgiven for one in debts),
            )
        logger.info("quota refusals at the end", by_node=dict(self.gate.refused.most_common(NODES_LOGGED)))


def wall_clock_ms() -> int:
    """Unix time in milliseconds."""
    return time.time_ns() // 1_000_000
