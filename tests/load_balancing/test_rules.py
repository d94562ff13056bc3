"""Compares the balancer with a simple model of the rules for sending, on generated sequences of events."""

from helpers import balancer, method, row, settings
from hypothesis import HealthCheck, given, seed
from hypothesis import settings as run
from hypothesis import strategies as st

from shedgrade import load_balancing

NEVER_RAN = {
    load_balancing.UNSENT,
    load_balancing.UNCONNECTED,
    load_balancing.REJECTED,
    load_balancing.BROKEN,
}
METHODS = [method("repeatable", payoff=3.0), method("once", soft=300.0)] + [
    method("by_key", group, soft=900.0) for group in ("all", "zone", "cell")
]
UPSTREAMS = [(up, up % 3) for up in range(6)]


class Model:
    """The rules for one request, applied to the list of its attempts and their outcomes."""

    def __init__(self, conf, number, deadline):
        self.method, self.parallel = conf["methods"][number], conf["limits"]["parallel_tries"]
        self.deadline, self.sends, self.finals = deadline, [], 0

    def possible_runs(self):
        return [send for send in self.sends if send["outcome"] not in NEVER_RAN]

    def outstanding(self):
        return [send for send in self.sends if send["outcome"] is None]

    def may_send(self, now, zone, cell):
        runs = self.possible_runs()
        if self.finals or now >= self.deadline or (self.outstanding() and not self.parallel):
            return False
        return self.may_repeat(now, zone, cell) if runs else True

    def may_repeat(self, now, zone, cell):
        runs, kind, group = self.possible_runs(), self.method["idempotency"], self.method["group"]
        if not runs or kind == "repeatable":
            return True
        if kind == "once" or now > runs[0]["at"] + self.method["repeat_window"] * 10:
            return False
        return group == "all" or (runs[0]["zone"] == zone if group == "zone" else runs[0]["cell"] == cell)

    def may_exhaust(self):
        harmless = self.method["idempotency"] == "repeatable" or (
            self.method["idempotency"] == "by_key" and self.method["group"] == "all"
        )
        return harmless or not self.possible_runs()


class EventSequence:
    """Drives a balancer through generated events and checks every decision against the model."""

    def __init__(self, conf, random_seed):
        self.conf, self.now, self.b, self.rpcs = conf, 0, balancer(conf, UPSTREAMS, random_seed), []
        self.state = {up: load_balancing.READY for up, _ in UPSTREAMS}
        self.withdrawn_upstreams = set()  # withdrawn by operators, whatever the list says
        for up, _ in UPSTREAMS:
            self.b.upstreams[up].cell = up % 2

    def check_decision(self, rpc, model):
        for up in self.b.upstreams.values():
            assert rpc.may_send_to(up, self.now) == model.may_repeat(self.now, up.zone, up.cell)
        decision = rpc.decide(self.now)
        if decision is None:
            return
        what, value = decision
        if what >= 0:
            assert self.state[what] == load_balancing.READY and what not in self.withdrawn_upstreams
            assert model.may_send(self.now, what % 3, what % 2)
            assert len(model.sends) < self.conf["limits"]["most_transmissions"]
            assert value > 0 and self.now + value <= model.deadline
            model.sends.append(
                {
                    "at": self.now,
                    "up": what,
                    "zone": what % 3,
                    "cell": what % 2,
                    "outcome": None,
                    "until": self.now + value,
                }
            )
        else:
            assert not model.finals and self.now <= model.deadline
            assert what == load_balancing.ERRORED or model.may_exhaust()
            model.finals += 1

    def submit(self, number, timeout):
        deadline = self.now + timeout
        model = Model(self.conf, number, deadline)
        rpc = self.b.admit(self.now, number, deadline)
        self.rpcs.append((rpc, model))
        self.check_decision(rpc, model)

    def finish_attempt(self, rpc, model, tx, outcome):
        send = model.sends[tx]
        send["outcome"] = outcome
        settled = bool(model.finals) or outcome == load_balancing.COMPLETED
        model.finals = model.finals or int(settled)
        for number in rpc.attempt_finished(self.now, tx, outcome, self.now - send["at"], settled):
            assert model.sends[number]["outcome"] is None
        self.check_decision(rpc, model)

    def pass_time(self, until):
        """Advances the clock. Attempts time out when due, and the balancer is called when it asks to be."""
        while True:
            limits = [
                (send["until"], r, tx)
                for r, (_, model) in enumerate(self.rpcs)
                for tx, send in enumerate(model.sends)
                if send["outcome"] is None
            ]
            wake = self.b.wake_at()
            first = min(limits, default=(until + 1,))
            if min(first[0], wake) > until:
                break
            self.now = max(self.now, min(first[0], wake))
            if first[0] <= self.now:
                self.finish_attempt(*self.rpcs[first[1]], first[2], load_balancing.TIMED_OUT)
            self.decide_due()
        self.now = until
        self.decide_due()

    def decide_due(self):
        models = dict(self.rpcs)
        for rpc in self.b.due(self.now):
            self.check_decision(rpc, models[rpc])
        for up in self.b.upstreams.values():
            assert (
                up.in_flight
                or up.state != load_balancing.REMOVED
                or up.index in self.withdrawn_upstreams
                or up.reinstated_at
            )
            outstanding = sum(send["up"] == up.index for _, m in self.rpcs for send in m.outstanding())
            assert up.in_flight + up.background_load == outstanding  # background: requests of a slow method

    def set_withdrawn(self, up, withdrawn):
        (self.withdrawn_upstreams.add if withdrawn else self.withdrawn_upstreams.discard)(up)
        cold = withdrawn or (
            up not in self.withdrawn_upstreams and up in self.b.upstreams and self.b.upstreams[up].withdrawn
        )
        self.b.set_withdrawn(self.now, up, withdrawn)
        if cold and not withdrawn and self.now:
            assert self.b.is_warming_up(self.b.upstreams[up], self.now)

    def change_settings(self, max_attempts):
        """Sets other methods under the same numbers and another attempt limit.

        Active requests keep their method; a lower attempt limit binds them.
        """
        self.conf = {
            **self.conf,
            "methods": self.conf["methods"][1:] + self.conf["methods"][:1],
            "limits": {**self.conf["limits"], "most_transmissions": max_attempts},
        }
        self.b.update_settings(self.conf)

    def change_list(self, up, state):
        self.state[up] = state
        self.b.list_changed(self.now, [row(up, up % 3, state, cell=up % 2)], False, True)


STEP = st.one_of(
    st.tuples(st.just("submit"), st.integers(0, 4), st.integers(30, 12000)),
    st.tuples(st.just("finish"), st.integers(0, 50), st.integers(0, 8)),
    st.tuples(st.just("wait"), st.integers(1, 4000), st.just(0)),
    st.tuples(st.just("list"), st.integers(0, 5), st.integers(0, 2)),
    st.tuples(st.just("withdraw"), st.integers(0, 5), st.integers(0, 1)),
    st.tuples(st.just("settings"), st.integers(1, 4), st.just(0)),
)


@seed(20261201)
@run(
    max_examples=300,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(st.lists(STEP, min_size=5, max_size=40), st.booleans(), st.booleans(), st.integers(0, 99))
def test_balancer_and_model_agree(steps, parallel, cancelling, random_seed):
    conf = settings(METHODS, zones=3, limits={"parallel_tries": parallel, "cancelling": cancelling})
    sequence = EventSequence(conf, random_seed)
    for what, a, b in steps:
        if what == "submit":
            sequence.submit(a, b)
        elif what == "wait":
            sequence.pass_time(sequence.now + a)
        elif what == "list":
            sequence.change_list(a, b)
        elif what == "withdraw":
            sequence.set_withdrawn(a, bool(b))
        elif what == "settings":
            sequence.change_settings(a)
        else:
            outstanding = [
                (rpc, model, tx)
                for rpc, model in sequence.rpcs
                for tx, send in enumerate(model.sends)
                if send["outcome"] is None
            ]
            if outstanding:
                rpc, model, tx = outstanding[a % len(outstanding)]
                sequence.finish_attempt(rpc, model, tx, load_balancing.STOPPED if model.finals else b)
        sequence.decide_due()
        sequence.b.check_invariants()
    sequence.pass_time(sequence.now + 13000)
    sequence.b.check_invariants()
    assert all(model.finals == 1 and not model.outstanding() for _, model in sequence.rpcs)
