"""Quotas as a part of the sidecar: a gate before the platform's own pool, its counts saved where a disk
lasts."""

import time

from loguru import logger

from shedgrade.sidecar.lifecycle.feature import Feature
from shedgrade.sidecar.quota.gate import Gate
from shedgrade.sidecar.quota.state import export, restore

KEEP = 5.0  # s between two records of what was counted and is owed


class QuotaPart(Feature):
    """Put in place at once, renewed by a reload, told of at the end."""

    def __init__(self, sidecar, features) -> None:
        self.sidecar, self.pool = sidecar, sidecar.pool
        self.methods = sidecar.config.settings["methods"]
        payoffs = tuple(method["payoff"] for method in self.methods)
        self.gate = Gate(features.quota, sidecar.config.seed, payoffs)
        self.pool.dispatcher.gates = (*self.pool.dispatcher.gates, self.gate)
        self.kept_at, self.refused = time.monotonic(), 0
        self.count_answers(features.quota)

    def count_answers(self, quota) -> None:
        """Upstreams tell their counts in a header, where the fleet's limits are split by observation."""
        caller = self.pool.caller
        if quota.fleet is not None:
            caller.counts_in, caller.counted_by = quota.fleet.header.lower().encode(), self.gate.answered
        else:
            caller.counts_in, caller.counted_by = b"", None

    def start(self) -> None:
        logger.info("quotas: {} nodes", sum(1 for _ in self.gate.tree.root.walk()))
        saved = self.pool.saved
        if saved is not None and saved.recovered.picture.quota is not None:
            logger.info(
                "quotas: {}",
                restore(self.gate.tree, saved.recovered.picture.quota, self.pool.clock.now(), self.wall()),
            )

    @staticmethod
    def wall() -> int:
        return time.time_ns() // 1_000_000

    def renew(self, features) -> None:
        """A reload that was checked. Taking the whole table away is for a start."""
        self.retuned()
        if features is not None and features.quota is not None:
            forgiven = self.gate.renew(features.quota)
            self.count_answers(features.quota)
            if forgiven:
                logger.warning(
                    "quotas: debts of {} forgiven, their nodes or guarantees are no longer there", forgiven
                )

    def retuned(self) -> None:
        """Methods may have come and gone: what was learnt of one that stays stays, under its new number."""
        before = {method["name"]: number for number, method in enumerate(self.methods)}
        self.methods = self.sidecar.config.settings["methods"]
        learnt = self.gate.estimates
        self.gate.estimates = {
            number: learnt[before[method["name"]]]
            for number, method in enumerate(self.methods)
            if before.get(method["name"]) in learnt
        }
        self.gate.alike = len({method["payoff"] for method in self.methods}) < 2

    def look_after(self) -> None:
        self.gate.look(self.wall() * 10, len(self.pool.balancer.upstreams))
        now = time.monotonic()
        if now >= self.kept_at + KEEP:
            self.kept_at = now
            self.keep()
            refused = self.gate.refused.total()
            if refused > self.refused:
                logger.info(
                    "quotas: {} refused in {:.0f} s, most by {}",
                    refused - self.refused,
                    KEEP,
                    self.gate.refused.most_common(1)[0][0],
                )
                self.refused = refused

    def keep(self) -> None:
        if self.pool.saved is not None:
            self.pool.saved.keep_quota(export(self.gate.tree, self.pool.clock.now(), self.wall()))

    def close(self) -> None:
        self.keep()
        debts = list(self.gate.tree.debts())
        if debts:
            logger.info(
                "quotas: {} debts, {} repaid, {} of them late, {} forgiven",
                len(debts),
                sum(one.paid_at is not None for one in debts),
                sum(one.paid_at is not None and one.paid_at > one.due for one in debts),
                sum(one.forgiven for one in debts),
            )
        logger.info("quotas: refused by node {}", dict(self.gate.refused.most_common(10)))
