"""The turn: what is ready is gathered, handed to the decisions in one go, and what came back carried out.

Nothing else calls the decisions. A turn starts with the loop's next pass after something was gathered, so all
that one pass of the loop read is decided on together. One timer, at the earliest of what the decisions and
the transmissions wait for, starts a turn when nothing else does.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

from shedgrade import load_balancing
from shedgrade.in_flight import Answer, Carried, InHand, Transmission
from shedgrade.load_balancing import learned_state
from shedgrade.runtime.log import logger

STILL = 100_000  # tenths of a ms without a byte of a long answer after which it is held to be broken
LOOKED = 100  # tenths of a ms after which a client is looked at again: it is owed 300 ms
OVER = 10**8  # tenths of a ms, over any deadline: so much later all time is up
ALLOWANCE = 20  # tenths of a ms that an answer takes out of here at the least, on an idle loop
MOST_ALLOWED = 50  # of lateness, well within a tick: retries are told by how long their clients wait


class Turn:
    """Owns the RPCs in hand and all calls on the decisions."""

    def __init__(
        self,
        loop,
        clock,
        balancer: load_balancing.Balancer,
        caller,
        names: list[str],
        budget,
        forget: Callable[[int], None],
    ) -> None:
        self.loop, self.clock, self.balancer, self.caller, self.names = loop, clock, balancer, caller, names
        self.forget = forget  # told of each upstream that the decisions have given up
        self.events: list[tuple] = []
        self.actions: list[tuple] = []
        self.in_hand = InHand(budget)
        self.gates: tuple = ()  # what may refuse an RPC before the decisions, told its end once
        self.watchers: tuple = ()  # what is told that a turn is over
        self.limits: list[tuple] = []  # (when, number, transmission): when its time is up
        self.numbers = count()
        self.timer, self.timer_at, self.scheduled = None, None, False
        self.lag = 0.0  # how late turns have been lately, tenths of a millisecond
        self.concluding = False  # the process ends now: finals only

    # --- gathering: called by connections, discovery and the timer

    def gather(self, call: Callable, *args) -> None:
        self.events.append((call, args))
        if not self.scheduled:
            self.scheduled = True
            self.loop.call_soon(self.run)

    def arrived(self, carried: Carried, method: int, wait: int, retry: bool, tenant: int = 0) -> None:
        self.in_hand.add(carried)
        carried.wait = wait
        at = self.clock.now()
        self.gather(self.take, carried, method, at + wait * 10, retry, tenant)

    def ended(self, transmission: Transmission, outcome: int, answer: Answer | None) -> None:
        self.gather(self.end, transmission, outcome, answer, self.clock.now())

    def came(self, carried: Carried, here: bool, whole: bool) -> None:
        """Of a long request: all of its bytes are `here` still; it is `whole`, its last byte has come."""
        self.gather(self.come, carried, here, whole, self.clock.now())

    def flowing(self, transmission: Transmission, answer: Answer, at: int) -> None:
        """A long answer has begun, its head at `at`, and is its client's now."""
        self.gather(self.flow, transmission, answer, at)

    def opened(self, transmission: Transmission) -> None:
        """A stream's connection is up: it is its client's now."""
        self.gather(self.begun, transmission)

    def left(self, carried: Carried) -> None:
        self.gather(self.gone, carried)

    def listed(self, rows: list, whole: bool, asked: bool) -> None:
        self.gather(self.list_changed, rows, whole, asked)

    def ordered(self, upstream: int, out: bool, told: Callable[[], None]) -> None:
        """The operators take an upstream out or put it back; `told` once that is done, not before."""
        self.gather(self.order, upstream, out, told)

    def list_failed(self) -> None:
        self.gather(lambda now: self.balancer.list_failed(now))

    def doubted(self, upstreams: list[int], ends: int, last: bool) -> None:
        self.gather(lambda now: self.balancer.mark_unverified(now, upstreams, ends, last))

    def restore(self, state: dict, age: float) -> None:
        self.gather(lambda now: learned_state.restore(self.balancer, now, state, age))

    def retuned(self, settings: dict, numbers: dict[int, int]) -> None:
        """Other settings from now on; what was gathered before is decided on first. `numbers`: of the methods
        that stay, the new by the old."""
        self.run()
        self.balancer.update_settings(settings)
        for carried in self.in_hand.carried:
            carried.tickets = tuple(
                (gate, ticket, numbers.get(method, -1), at) for gate, ticket, method, at in carried.tickets
            )
        self.gather(lambda now: None)

    def divided(self, part: float) -> None:
        """Of what cold upstreams may get, this much is this process's: an upgrade has two."""
        self.gather(lambda now: self.balancer.set_slow_start_share(part))

    def conclude(self) -> None:
        """The process ends now: whatever is in hand gets its final answer, and nothing more is sent."""
        self.concluding = True
        self.run()
        for carried in list(self.in_hand.carried):
            for transmission in list(carried.out.values()):
                outcome = load_balancing.STOPPED if self.caller.stop(transmission) else load_balancing.UNSENT
                self.ended(transmission, outcome, None)
            self.gather(self.ask_again, carried)
        self.run()

    def export(self) -> dict:
        """What the decisions have learnt, as plain data."""
        return learned_state.export(self.balancer, self.clock.now())

    # --- the turn

    def run(self) -> None:
        self.scheduled = False
        now = self.clock.now()
        self.expire(now)
        while self.events:
            events, self.events = self.events, []
            for call, args in events:
                self.guarded(call, now, *args)
            self.guarded(self.due, now)
            actions, self.actions = self.actions, []
            for call, args in actions:
                self.guarded(call, *args)
        # Only now that nothing gathered names an upstream by its index may the index be another's.
        for upstream in self.balancer.take_released():
            self.forget(upstream)
        self.set_timer()
        for watcher in self.watchers:
            watcher.after_turn(now, self.lag)

    def guarded(self, call: Callable, *args) -> None:
        """Guards against a fault of our own: it costs the RPC that met it, not the process and all others."""
        try:
            call(*args)
        except Exception as failure:
            logger.error("fault in {}: {!r}", getattr(call, "__name__", call), failure)
            for carried in args:
                carried = carried.carried if isinstance(carried, Transmission) else carried
                if isinstance(carried, Carried) and not carried.done:
                    self.guarded(self.give_up, carried)

    def give_up(self, carried: Carried) -> None:
        """A fault met it: it is answered, nothing of it stays out, and the decisions hold it no longer."""
        out = list(carried.out.values())
        self.finish(carried)
        if carried.opened:
            carried.client.completed(None)
        else:
            carried.client.errored()
        for transmission in out:
            self.caller.stop(transmission)
            self.events.append((self.end, (transmission, load_balancing.STOPPED, None, self.clock.now())))
        if carried.rpc is not None:
            carried.rpc.client_disconnected(self.clock.now())

    def due(self, now: int) -> None:
        for rpc in self.balancer.due(now):
            self.guarded(self.decide, now, rpc.tag)
        self.balancer.wants_list(now)  # the watch always follows on by itself

    def set_timer(self) -> None:
        at = self.balancer.wake_at()
        while self.limits and not self.limits[0][2].still_out():
            heappop(self.limits)
        if self.limits:
            at = min(at, self.limits[0][0])
        if at == self.timer_at:
            return
        if self.timer is not None:
            self.timer.cancel()
            self.timer = self.timer_at = None
        if at != load_balancing.inf:
            self.timer_at = at
            self.timer = self.loop.call_at(self.clock.on_monotonic(at), self.alarm)

    def alarm(self) -> None:
        self.lag = max(self.lag * 0.99, min(MOST_ALLOWED, self.clock.now() - self.timer_at))
        self.timer = self.timer_at = None
        self.gather(lambda now: None)

    # --- what is handed to the decisions

    def take(
        self, now: int, carried: Carried, method: int, give_up_at: int, retry: bool, tenant: int = 0
    ) -> None:
        if carried.done:
            return
        if carried.client.has_left():
            # Guards against work for nobody: a request that waited unread comes before its client's end.
            self.finish(carried)
            carried.client.close()
            return
        carried.looked = now
        for gate in self.gates:
            got = gate.enter(now, carried, method, retry, self.balancer.draw_admission(method))
            if isinstance(got, int):
                self.finish(carried)
                wait = min(got, self.balancer.max_retry_after)
                self.actions.append((carried.client.exhausted, (wait,)))
                return
            carried.tickets = (*carried.tickets, (gate, got, method, now))
        allowance = ALLOWANCE + int(self.lag)
        carried.rpc = self.balancer.admit(now, method, give_up_at - allowance, retry, carried, tenant)
        if carried.coming:
            carried.rpc.body_received(now, give_up_at - allowance, True, False)
        self.decide(now, carried)

    def end(self, now: int, transmission: Transmission, outcome: int, answer: Answer | None, at: int) -> None:
        carried, tx = transmission.carried, transmission.tx
        if not transmission.still_out():
            return  # its end was told before: what comes late reaches nobody
        del carried.out[tx]
        # A stream that was open is moved never: whatever ended it, that is its end.
        served = (outcome == load_balancing.COMPLETED or carried.opened) and not carried.done
        if served:
            self.finish(carried)
            whole = answer if outcome == load_balancing.COMPLETED else None
            self.actions.append((carried.client.completed, (whole,)))
        took = (at if transmission.first is None else transmission.first) - transmission.sent
        stops = carried.rpc.attempt_finished(now, tx, outcome, max(0, took), carried.done, transmission.fresh)
        self.stop(now, carried, stops)
        done = len(self.actions)
        self.decide(now, carried)
        if not carried.done:
            self.actions.insert(done, (self.caller.abandon, (transmission,)))

    def come(self, now: int, carried: Carried, here: bool, whole: bool, at: int) -> None:
        if carried.done or carried.rpc is None:
            return
        limit = carried.rpc.body_received(
            now, at + carried.wait * 10 - ALLOWANCE - int(self.lag), here, whole
        )
        if whole:
            carried.coming = False
            for transmission in carried.out.values():
                if transmission.first is None:
                    transmission.sent, transmission.until = now, now + limit
                    self.limit(transmission, transmission.until)

    def flow(self, now: int, transmission: Transmission, answer: Answer, at: int) -> None:
        carried = transmission.carried
        if not transmission.still_out() or carried.done:
            return
        carried.opened, carried.coming = True, False
        transmission.first, transmission.until = at, self.open_limit(carried, now)
        self.limit(transmission, transmission.until)
        carried.rpc.response_started(True)
        self.stop(now, carried, [tx for tx in carried.out if tx != transmission.tx])
        self.actions.append((carried.client.flowing, (answer,)))

    def begun(self, now: int, transmission: Transmission) -> None:
        carried = transmission.carried
        if transmission.still_out() and not carried.done:
            carried.opened, transmission.until = True, load_balancing.inf
            carried.rpc.response_started(True)
            self.actions.append((carried.client.opened, (transmission.link,)))

    def gone(self, now: int, carried: Carried) -> None:
        if carried.done:
            return
        self.finish(carried)
        if carried.rpc is not None:
            self.stop(now, carried, carried.rpc.client_disconnected(now))

    def list_changed(self, now: int, rows: list, whole: bool, asked: bool) -> None:
        self.balancer.list_changed(now, rows, whole, asked)

    def order(self, now: int, upstream: int, out: bool, told: Callable[[], None]) -> None:
        self.balancer.set_withdrawn(now, upstream, out)
        if out:
            self.actions.append((self.caller.withdraw, (upstream,)))
        self.actions.append((told, ()))

    def ask_again(self, now: int, carried: Carried) -> None:
        if not carried.done:
            self.decide(now, carried)

    def decide(self, now: int, carried: Carried) -> None:
        answer = carried.rpc.decide(now + OVER * self.concluding)
        if answer is None:
            return
        what, value = answer
        if what >= 0:
            until = carried.latest if carried.coming else now + value
            transmission = Transmission(carried, len(carried.rpc.attempts) - 1, what, now, until)
            carried.out[transmission.tx] = transmission
            self.limit(transmission, until)
            self.actions.append((self.transmit, (transmission, now)))
        elif not carried.done:
            self.finish(carried)
            client = carried.client
            if what == load_balancing.EXHAUSTED:
                self.actions.append((client.exhausted, (value,)))
            else:
                self.actions.append((client.errored, ()))

    def limit(self, transmission: Transmission, until: float) -> None:
        if until != load_balancing.inf:
            heappush(self.limits, (until, next(self.numbers), transmission))

    def finish(self, carried: Carried) -> None:
        carried.done = True
        self.in_hand.remove(carried)
        if carried.request.flow is not None:
            carried.request.flow.discard()
        tickets, carried.tickets = carried.tickets, ()
        if tickets:
            now = self.clock.now()
            ran = carried.rpc is not None and carried.rpc.first_possibly_executed() is not None
            sent = carried.rpc.sent_at[carried.rpc.first_possibly_executed()] if ran else now
            for gate, ticket, method, _ in tickets:
                gate.leave(now, ticket, method, ran, now - sent)

    def stop(self, now: int, carried: Carried, numbers: list[int]) -> None:
        for tx in numbers:
            transmission = carried.out.get(tx)
            if transmission is not None:
                self.actions.append((self.caller.stop, (transmission,)))
                self.events.append((self.end, (transmission, load_balancing.STOPPED, None, now)))

    # --- what is carried out

    def transmit(self, transmission: Transmission, now: int) -> None:
        if not self.wanted(transmission, now):
            self.ended(transmission, load_balancing.UNSENT, None)
            return
        self.caller.transmit(transmission, now)
        if transmission.dial_until is not None and transmission.dial_until < transmission.until:
            self.limit(transmission, transmission.dial_until)

    def wanted(self, transmission: Transmission, now: int) -> bool:
        """Asked right before the first byte is sent: somebody waits, there is time, the upstream takes RPCs.

        Guards against what crossed the wait before it, for a turn or for a connection to come up: a drain,
        the end of its time, a client that left. That client's end may be unread yet, as reads are paused
        while much of it is unread, or the loop was held up.
        """
        carried = transmission.carried
        if carried.done or not transmission.still_out() or now >= transmission.until:
            return False
        up = self.balancer.upstreams.get(transmission.upstream)
        if up is None or not up.listed:
            return False
        if now - carried.looked > LOOKED:
            if carried.client.has_left():
                self.left(carried)
                carried.client.close()
                return False
            carried.looked = now
        return True

    def open_until(self, transmission: Transmission, now: int) -> float:
        """Until when a long answer may go on; `now`, if none has begun or it has stood still.

        Guards long answers: what still comes, or waits for its client, is cut by no deadline but the latest.
        """
        if transmission.first is not None:
            moved = transmission.link.moved()
        elif self.caller.in_time(transmission):
            moved = now  # it is its client's in this very turn
        else:
            return now
        return self.open_limit(transmission.carried, moved)

    def open_limit(self, carried: Carried, moved: int) -> float:
        """Until when an answer that last moved then may go on: where a request has a latest moment, no
        silence ends its answer sooner."""
        return moved + STILL if carried.latest == load_balancing.inf else carried.latest

    def expire(self, now: int) -> None:
        """Transmissions whose time is up, or whose connection did not come up in time."""
        while self.limits and self.limits[0][0] <= now:
            transmission = heappop(self.limits)[2]
            if not transmission.still_out():
                continue
            dialling = transmission.dial_until is not None
            if now < transmission.until and not (dialling and now >= transmission.dial_until):
                continue
            upstream = self.names[transmission.upstream]
            if now < (until := self.open_until(transmission, now)):
                transmission.until = until
                self.limit(transmission, until)
                continue
            if self.caller.give_up(transmission):
                self.caller.silent(transmission)
                outcome = load_balancing.TIMED_OUT
                logger.debug("transmission to {} timed out", upstream)
            else:
                # A request that is still coming may be its client's to blame.
                upstreams_part = dialling or not transmission.carried.coming
                late = upstreams_part and now >= (transmission.dial_until or now) and not self.caller.proxied
                outcome = load_balancing.UNCONNECTED if late else load_balancing.UNSENT
                logger.debug("no connection to {} in time, or not all sent", upstream)
            self.events.append((self.end, (transmission, outcome, None, now)))
