"""Quotas as a feature of the sidecar: a gate before the platform's own pool. The use and the debts are saved
with the endpoint list, if that is saved."""

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

SAVE_INTERVAL_S = 5.0  # between two saves of the use and the debts
NODES_LOGGED = 10  # nodes with the most refusals, logged when the sidecar ends


class QuotaFeature(Feature):
    """The quotas of the sidecar's own pool; a reload updates them, and their state is saved periodically."""

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
        """Sets the header in which upstreams report their counts; none without `[quota.fleet]`."""
        connections: Any = self.pool.connections  # its class has no types yet
        fleet = quota.fleet
        connections.count_header = fleet.header.lower().encode() if fleet is not None else b""
        connections.count_received = self.gate.record_answer if fleet is not None else None

    def start(self) -> None:
        """Restores the saved state, if there is one."""
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
        """Applies a reload that was checked. The removal of the whole table takes a restart."""
        self.update_methods()
        if features is not None and features.quota is not None:
            forgiven = self.gate.update(features.quota)
            self.update_count_header(features.quota)
            if forgiven:
                logger.warning("quota debts forgiven by a reload", amount=forgiven)

    def update_methods(self) -> None:
        """Applies changed methods: a method that stays keeps its estimate, under its new number."""
        old_numbers = {method["name"]: number for number, method in enumerate(self.methods)}
        self.methods = self.sidecar.config.settings["methods"]
        estimates = self.gate.estimates
        self.gate.estimates = {
            number: estimates[old_numbers[method["name"]]]
            for number, method in enumerate(self.methods)
            if old_numbers.get(method["name"]) in estimates
        }
        self.gate.payoffs_equal = len({method["payoff"] for method in self.methods}) < 2

    def tick(self) -> None:
        """Updates this sidecar's share; every SAVE_INTERVAL_S, saves the state and logs new refusals."""
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
        """Saves the use and the debts with the endpoint list, if that is saved."""
        if self.pool.saved is not None:
            self.pool.saved.save_quota(export(self.gate.tree, self.pool.clock.now(), wall_clock_ms()))

    def close(self) -> None:
        """Saves the use and the debts; logs the debts and the refusals of the whole run."""
        self.save()
        debts = list(self.gate.tree.debts())
        if debts:
            logger.info(
                "quota debts at the end",
                debts=len(debts),
                repaid=sum(debt.paid_at is not None for debt in debts),
                repaid_late=sum(debt.paid_at is not None and debt.paid_at > debt.due_at for debt in debts),
                forgiven=sum(debt.forgiven for debt in debts),
            )
        logger.info("quota refusals at the end", by_node=dict(self.gate.refused.most_common(NODES_LOGGED)))


def wall_clock_ms() -> int:
    """Returns the Unix time in milliseconds."""
    return time.time_ns() // 1_000_000
