"""Dispatch of requests: gathers events, passes them to the balancer together and carries out its decisions.

Nothing else calls the balancer. A pass starts with the loop's next iteration after an event was queued, so
all that one iteration of the loop read is decided on together. One timer, set to the earliest time that the
balancer or a transmission waits for, starts a pass when nothing else does.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

from shedgrade import load_balancing
from shedgrade.in_flight import ActiveRequest, ActiveRequests, Answer, Transmission
from shedgrade.load_balancing import learned_state
from shedgrade.runtime.log import logger

# All in tenths of a ms.
STALLED_RESPONSE_TIMEOUT = 100_000  # without a byte of a long answer; after it the answer counts as broken
CLIENT_CHECK_INTERVAL = 100  # between two checks that a client is connected, well within the 300 ms allowed
BEYOND_ALL_DEADLINES = 10**8  # longer than any deadline: added to the time, it makes every deadline pass
RESPONSE_ALLOWANCE = 20  # least time that an answer takes to leave this process, on an idle loop
# Longest lag that deadlines allow for, well within a tick: a retry is recognized by its client's timeout.
MAX_LAG = 50


class Dispatcher:
    """Owns the active requests and makes all calls of the balancer."""

    def __init__(
        self,
        loop,
        clock,
        balancer: load_balancing.Balancer,
        connections,
        upstream_ids: list[str],
        budget,
        forget: Callable[[int], None],
    ) -> None:
        self.loop = loop
        self.clock = clock
        self.balancer = balancer
        self.connections = connections
        self.upstream_ids = upstream_ids
        self.release_upstream = forget  # called with each upstream that the balancer has forgotten
        self.events: list[tuple] = []
        self.actions: list[tuple] = []
        self.active_requests = ActiveRequests(budget)
        # Each may refuse a request before the balancer gets it, and is told once that an admitted one ended.
        self.gates: tuple = ()
        self.observers: tuple = ()  # each is called after every pass
        self.expiries: list[tuple] = []  # (time, sequence number, transmission): when its time limit ends
        self.sequence = count()
        self.timer = None
        self.timer_at = None
        self.scheduled = False
        self.lag = 0.0  # recent delay of passes behind their timer, tenths of a millisecond
        self.concluding = False  # the process ends now: only final answers are given

    # --- enqueuing events: called by connections, discovery and the timer

    def enqueue_event(self, call: Callable, *args) -> None:
        """Queues a call for the next pass, which passes the time as its first argument."""
        self.events.append((call, args))
        if not self.scheduled:
            self.scheduled = True
            self.loop.call_soon(self.run)

    def submit(
        self, active_request: ActiveRequest, method: int, wait: int, retry: bool, tenant: int = 0
    ) -> None:
        """Accepts a request. `wait`: ms that its client waits for the answer."""
        self.active_requests.add(active_request)
        active_request.timeout_ms = wait
        at = self.clock.now()
        self.enqueue_event(self.on_submitted, active_request, method, at + wait * 10, retry, tenant)

    def attempt_finished(self, transmission: Transmission, outcome: int, answer: Answer | None) -> None:
        """Reports the end of an attempt, with its answer if there is one."""
        self.enqueue_event(self.on_attempt_finished, transmission, outcome, answer, self.clock.now())

    def body_received(self, active_request: ActiveRequest, buffered: bool, complete: bool) -> None:
        """Reports bytes of a body.

        `buffered`: all are still buffered; `complete`: the last one has arrived.
        """
        self.enqueue_event(self.on_body_received, active_request, buffered, complete, self.clock.now())

    def response_started(self, transmission: Transmission, answer: Answer, at: int) -> None:
        """Reports that a long answer has begun, its head at `at`; it is then forwarded to its client."""
        self.enqueue_event(self.on_response_started, transmission, answer, at)

    def stream_opened(self, transmission: Transmission) -> None:
        """Reports that a stream's connection is established; the stream is then passed to its client."""
        self.enqueue_event(self.on_stream_opened, transmission)

    def client_disconnected(self, active_request: ActiveRequest) -> None:
        """Reports that the request's client has disconnected."""
        self.enqueue_event(self.on_client_disconnected, active_request)

    def list_changed(self, rows: list, complete: bool, requested: bool) -> None:
        """Passes on rows of the endpoint list, as `Balancer.list_changed` takes them."""
        self.enqueue_event(self.on_list_changed, rows, complete, requested)

    def set_withdrawn(self, upstream: int, out: bool, told: Callable[[], None]) -> None:
        """Withdraws an upstream by operators' order or reinstates it; calls `told` once that is in force."""
        self.enqueue_event(self.on_withdrawn_changed, upstream, out, told)

    def list_failed(self) -> None:
        """Reports that endpoint discovery failed."""
        self.enqueue_event(lambda now: self.balancer.list_failed(now))

    def mark_unverified(self, upstreams: list[int], required_successes: int, last_resort: bool) -> None:
        """Marks upstreams of a list older than discovery's as unverified."""
        self.enqueue_event(
            lambda now: self.balancer.mark_unverified(now, upstreams, required_successes, last_resort)
        )

    def restore(self, state: dict, age: float) -> None:
        """Restores what an earlier process learned, `age` seconds ago."""
        self.enqueue_event(lambda now: learned_state.restore(self.balancer, now, state, age))

    def update_settings(self, settings: dict, numbers: dict[int, int]) -> None:
        """Applies other settings, after a pass over the events queued so far.

        `numbers`: of the methods that stay, the new number by the old one.
        """
        self.run()
        self.balancer.update_settings(settings)
        for active_request in self.active_requests.requests:
            active_request.gate_tickets = tuple(
                (gate, ticket, numbers.get(method, -1), at)
                for gate, ticket, method, at in active_request.gate_tickets
            )
        self.enqueue_event(lambda now: None)

    def set_slow_start_share(self, part: float) -> None:
        """Sets this process's share of the slow start rate, as two processes run during an upgrade."""
        self.enqueue_event(lambda now: self.balancer.set_slow_start_share(part))

    def conclude(self) -> None:
        """Gives every active request its final answer, as the process ends now; nothing more is sent."""
        self.concluding = True
        self.run()
        for active_request in list(self.active_requests.requests):
            for transmission in list(active_request.transmissions.values()):
                outcome = (
                    load_balancing.STOPPED if self.connections.stop(transmission) else load_balancing.UNSENT
                )
                self.attempt_finished(transmission, outcome, None)
            self.enqueue_event(self.on_final_answer_due, active_request)
        self.run()

    def export(self) -> dict:
        """Returns what the balancer has learned, as plain data."""
        return learned_state.export(self.balancer, self.clock.now())

    # --- the pass

    def run(self) -> None:
        """Runs a dispatch pass: expired time limits, all queued events, due decisions, then the actions."""
        self.scheduled = False
        now = self.clock.now()
        self.expire(now)
        while self.events or self.actions:
            events, self.events = self.events, []
            for call, args in events:
                self.guarded(call, now, *args)
            self.guarded(self.decide_due, now)
            actions, self.actions = self.actions, []
            for call, args in actions:
                self.guarded(call, *args)
        # An index is free for another upstream only now, as no queued event names it any more.
        for upstream in self.balancer.take_released():
            self.guarded(self.release_upstream, upstream)
        self.guarded(self.set_timer)
        for observer in self.observers:
            self.guarded(observer.after_pass, now, self.lag)

    def guarded(self, call: Callable, *args) -> None:
        """Calls `call`. An exception ends the requests among its arguments, not the process."""
        try:
            call(*args)
        except Exception as failure:
            self.log_fault(call, failure)
            for argument in args:
                request = argument.active_request if isinstance(argument, Transmission) else argument
                if isinstance(request, ActiveRequest):
                    # After the actions of this pass: the request's answer may be among them.
                    self.actions.append((self.fail_after_fault, (request,)))

    def log_fault(self, call: Callable, failure: Exception) -> None:
        """Logs an exception of a step."""
        step = getattr(call, "__name__", repr(call))
        logger.error("dispatch step failed", step=step, error=repr(failure))

    def fail_after_fault(self, active_request: ActiveRequest) -> None:
        """Answers a request that met a fault, stops its attempts and ends it in the balancer."""
        client = active_request.client
        if not active_request.done:
            out = list(active_request.transmissions.values())
            self.guarded(self.finish, active_request)
            for transmission in out:
                self.guarded(self.connections.stop, transmission)
                self.events.append(
                    (self.on_attempt_finished, (transmission, load_balancing.STOPPED, None, self.clock.now()))
                )
            if active_request.rpc is not None:
                self.guarded(active_request.rpc.client_disconnected, self.clock.now())
        self.guarded(self.drop_untracked_attempts, active_request.rpc, active_request.transmissions)
        if active_request.stream_is_open:
            self.answer(active_request, client.completed, None)
        else:
            self.answer(active_request, client.errored)

    def drop_untracked_attempts(
        self, rpc: load_balancing.Rpc | None, transmissions: dict[int, Transmission]
    ) -> None:
        """Ends the attempts of which the balancer would not get an outcome: they are no transmissions any
        more. They would count as in flight at their upstreams for good."""
        for attempt in set(rpc.outstanding if rpc is not None else ()) - transmissions.keys():
            rpc.drop_attempt(attempt)

    def answer(self, active_request: ActiveRequest, call: Callable, *args) -> None:
        """Ends a request for its client, once. `call`: the method of its client that does it."""
        if active_request.answered:
            return
        active_request.answered = True
        try:
            call(*args)
        except Exception as failure:
            self.log_fault(call, failure)
            self.guarded(active_request.client.answer_failed)

    def start_answer(self, active_request: ActiveRequest, call: Callable, *args) -> None:
        """Passes the start of a long answer or of a stream to the client. `call`: its method that takes it.
        After an exception the rest is not passed on, which the client would take for a complete answer."""
        try:
            call(*args)
        except Exception as failure:
            self.log_fault(call, failure)
            self.answer(active_request, active_request.client.answer_failed)
            self.actions.append((self.fail_after_fault, (active_request,)))

    def decide_due(self, now: int) -> None:
        """Decides again on every request that is due."""
        for rpc in self.balancer.due(now):
            self.guarded(self.decide, now, rpc.tag)
        self.balancer.wants_list(now)  # the discovery watch subscribes again by itself

    def set_timer(self) -> None:
        """Sets the timer to the earliest time that the balancer or a transmission waits for."""
        at = self.balancer.wake_at()
        while self.expiries and not self.expiries[0][2].is_outstanding():
            heappop(self.expiries)
        if self.expiries:
            at = min(at, self.expiries[0][0])
        if at == self.timer_at:
            return
        if self.timer is not None:
            self.timer.cancel()
            self.timer = self.timer_at = None
        if at != load_balancing.inf:
            self.timer_at = at
            self.timer = self.loop.call_at(self.clock.to_monotonic(at), self.on_timer)

    def on_timer(self) -> None:
        """Handles the timer: measures its lag, and starts a pass."""
        self.lag = max(self.lag * 0.99, min(MAX_LAG, self.clock.now() - self.timer_at))
        self.timer = self.timer_at = None
        self.enqueue_event(lambda now: None)

    # --- calls of the balancer

    def on_submitted(
        self,
        now: int,
        active_request: ActiveRequest,
        method: int,
        give_up_at: int,
        retry: bool,
        tenant: int = 0,
    ) -> None:
        """Passes the request through the gates, then admits it to the balancer."""
        if active_request.done:
            return
        if active_request.client.has_disconnected():
            # Guards against work for no client: a request whose bytes waited unread is read before the end of
            # its client's connection.
            self.finish(active_request)
            active_request.client.close()
            return
        active_request.client_checked_at = now
        for gate in self.gates:
            got = gate.enter(now, active_request, method, retry, self.balancer.draw_admission(method))
            if isinstance(got, int):
                self.finish(active_request)
                wait = min(got, self.balancer.max_retry_after)
                self.actions.append((self.answer, (active_request, active_request.client.exhausted, wait)))
                return
            active_request.gate_tickets = (*active_request.gate_tickets, (gate, got, method, now))
        allowance = RESPONSE_ALLOWANCE + int(self.lag)
        active_request.rpc = self.balancer.admit(
            now, method, give_up_at - allowance, retry, active_request, tenant
        )
        if active_request.is_body_incomplete:
            active_request.rpc.body_received(now, give_up_at - allowance, True, False)
        self.decide(now, active_request)

    def on_attempt_finished(
        self, now: int, transmission: Transmission, outcome: int, answer: Answer | None, at: int
    ) -> None:
        """Reports the outcome to the balancer and, if the request was served, the answer to the client."""
        active_request, tx = transmission.active_request, transmission.attempt
        if not transmission.is_outstanding():
            return  # its end was reported before
        del active_request.transmissions[tx]
        # A stream that was open is never retried: any end of the attempt ends the request.
        served = (
            outcome == load_balancing.COMPLETED or active_request.stream_is_open
        ) and not active_request.done
        if served:
            self.finish(active_request)
            whole = answer if outcome == load_balancing.COMPLETED else None
            self.actions.append((self.answer, (active_request, active_request.client.completed, whole)))
        took = (
            at if transmission.response_began_at is None else transmission.response_began_at
        ) - transmission.sent_at
        stops = active_request.rpc.attempt_finished(
            now, tx, outcome, max(0, took), active_request.done, transmission.first_on_connection
        )
        self.stop(now, active_request, stops)
        done = len(self.actions)
        self.decide(now, active_request)
        if not active_request.done:
            self.actions.insert(done, (self.connections.abandon, (transmission,)))

    def on_body_received(
        self, now: int, active_request: ActiveRequest, buffered: bool, complete: bool, at: int
    ) -> None:
        """Updates the deadlines of a long request; the last byte starts its attempts' time limits."""
        if active_request.done or active_request.rpc is None:
            return
        limit = active_request.rpc.body_received(
            now, at + active_request.timeout_ms * 10 - RESPONSE_ALLOWANCE - int(self.lag), buffered, complete
        )
        if complete:
            active_request.is_body_incomplete = False
            for transmission in active_request.transmissions.values():
                if transmission.response_began_at is None:
                    transmission.sent_at, transmission.expires_at = now, now + limit
                    self.add_expiry(transmission, transmission.expires_at)

    def on_response_started(self, now: int, transmission: Transmission, answer: Answer, at: int) -> None:
        """Passes a long answer that has begun to its client; all other attempts are stopped."""
        active_request = transmission.active_request
        if not transmission.is_outstanding() or active_request.done:
            return
        active_request.stream_is_open, active_request.is_body_incomplete = True, False
        transmission.response_began_at, transmission.expires_at = (
            at,
            self.response_time_limit(active_request, now),
        )
        self.add_expiry(transmission, transmission.expires_at)
        active_request.rpc.response_started(True)
        self.stop(
            now, active_request, [tx for tx in active_request.transmissions if tx != transmission.attempt]
        )
        client = active_request.client
        self.actions.append((self.start_answer, (active_request, client.response_flow_started, answer)))

    def on_stream_opened(self, now: int, transmission: Transmission) -> None:
        """Passes an open stream to its client; the stream lasts until either side ends it."""
        active_request = transmission.active_request
        if transmission.is_outstanding() and not active_request.done:
            active_request.stream_is_open, transmission.expires_at = True, load_balancing.inf
            active_request.rpc.response_started(True)
            client = active_request.client
            self.actions.append((self.start_answer, (active_request, client.opened, transmission.link)))

    def on_client_disconnected(self, now: int, active_request: ActiveRequest) -> None:
        """Ends the request of a client that has disconnected, and stops its attempts."""
        if active_request.done:
            return
        self.finish(active_request)
        if active_request.rpc is not None:
            self.stop(now, active_request, active_request.rpc.client_disconnected(now))

    def on_list_changed(self, now: int, rows: list, complete: bool, requested: bool) -> None:
        """Passes rows of the list to the balancer."""
        self.balancer.list_changed(now, rows, complete, requested)

    def on_withdrawn_changed(self, now: int, upstream: int, out: bool, told: Callable[[], None]) -> None:
        """Passes an operator's order to the balancer, and calls `told` once it is in force."""
        self.balancer.set_withdrawn(now, upstream, out)
        if out:
            self.actions.append((self.connections.withdraw, (upstream,)))
        self.actions.append((told, ()))

    def on_final_answer_due(self, now: int, active_request: ActiveRequest) -> None:
        """Decides on a request that is not answered yet, for its final answer."""
        if not active_request.done:
            self.decide(now, active_request)

    def decide(self, now: int, active_request: ActiveRequest) -> None:
        """Carries out what the balancer decides on a request now."""
        answer = active_request.rpc.decide(now + BEYOND_ALL_DEADLINES * self.concluding)
        if answer is None:
            return
        what, value = answer
        if what >= 0:
            until = active_request.hard_end if active_request.is_body_incomplete else now + value
            transmission = Transmission(
                active_request, len(active_request.rpc.attempts) - 1, what, now, until
            )
            active_request.transmissions[transmission.attempt] = transmission
            self.add_expiry(transmission, until)
            self.actions.append((self.transmit, (transmission, now)))
        elif not active_request.done:
            self.finish(active_request)
            client = active_request.client
            if what == load_balancing.EXHAUSTED:
                self.actions.append((self.answer, (active_request, client.exhausted, value)))
            else:
                self.actions.append((self.answer, (active_request, client.errored)))

    def add_expiry(self, transmission: Transmission, until: float) -> None:
        """Schedules a check of the attempt at that time, if it is finite."""
        if until != load_balancing.inf:
            heappush(self.expiries, (until, next(self.sequence), transmission))

    def finish(self, active_request: ActiveRequest) -> None:
        """Ends a request that is answered or has lost its client; releases its memory and gate tickets."""
        active_request.done = True
        self.active_requests.remove(active_request)
        if active_request.request.flow is not None:
            active_request.request.flow.discard()
        tickets, active_request.gate_tickets = active_request.gate_tickets, ()
        if tickets:
            now = self.clock.now()
            ran = active_request.rpc is not None and active_request.rpc.first_possibly_executed() is not None
            sent = active_request.rpc.sent_at[active_request.rpc.first_possibly_executed()] if ran else now
            for gate, ticket, method, _ in tickets:
                gate.leave(now, ticket, method, ran, now - sent)

    def stop(self, now: int, active_request: ActiveRequest, numbers: list[int]) -> None:
        """Stops these attempts of a request."""
        for tx in numbers:
            transmission = active_request.transmissions.get(tx)
            if transmission is not None:
                self.actions.append((self.connections.stop, (transmission,)))
                self.events.append(
                    (self.on_attempt_finished, (transmission, load_balancing.STOPPED, None, now))
                )

    # --- actions

    def transmit(self, transmission: Transmission, now: int) -> None:
        """Passes an attempt to the connections, unless it may not be sent any more."""
        if not self.may_still_send(transmission, now):
            self.attempt_finished(transmission, load_balancing.UNSENT, None)
            return
        self.connections.transmit(transmission, now)
        if (
            transmission.connect_expires_at is not None
            and transmission.connect_expires_at < transmission.expires_at
        ):
            self.add_expiry(transmission, transmission.connect_expires_at)

    def may_still_send(self, transmission: Transmission, now: int) -> bool:
        """Returns whether to send, right before the first byte.

        A client must wait, there must be time left, and the upstream must be listed. Guards against events
        during the wait for a pass or for a connection: a drain, the end of the attempt's time limit, a client
        that disconnected. The end of the client's connection may be unread yet, as reads are paused while
        much of its data is unread, or the loop was blocked.
        """
        active_request = transmission.active_request
        if active_request.done or not transmission.is_outstanding() or now >= transmission.expires_at:
            return False
        up = self.balancer.upstreams.get(transmission.upstream)
        if up is None or not up.listed:
            return False
        if now - active_request.client_checked_at > CLIENT_CHECK_INTERVAL:
            if active_request.client.has_disconnected():
                self.client_disconnected(active_request)
                active_request.client.close()
                return False
            active_request.client_checked_at = now
        return True

    def response_expires_at(self, transmission: Transmission, now: int) -> float:
        """Returns the time until which a long answer may go on; `now` if no answer has begun.

        For an answer that has stalled, that time has passed. An answer that makes progress, or waits for its
        client, is cut only at the request's `hard_end`.
        """
        if transmission.response_began_at is not None:
            moved = transmission.link.last_progress_at()
        elif self.connections.long_response_has_begun(transmission):
            moved = now  # its client gets it in this pass
        else:
            return now
        return self.response_time_limit(transmission.active_request, moved)

    def response_time_limit(self, active_request: ActiveRequest, moved: int) -> float:
        """Returns the time until which a long answer may go on that last made progress at `moved`.

        A request with a `hard_end` may go on until then; any other is cut after STALLED_RESPONSE_TIMEOUT
        without progress.
        """
        return (
            moved + STALLED_RESPONSE_TIMEOUT
            if active_request.hard_end == load_balancing.inf
            else active_request.hard_end
        )

    def expire(self, now: int) -> None:
        """Ends transmissions whose time limit has passed, or whose connection was not established in time."""
        while self.expiries and self.expiries[0][0] <= now:
            transmission = heappop(self.expiries)[2]
            if transmission.is_outstanding():
                self.guarded(self.check_expiry, transmission, now)

    def check_expiry(self, transmission: Transmission, now: int) -> None:
        """Ends a transmission, unless its time limit was moved and it may still be connected."""
        dialling = transmission.connect_expires_at is not None
        if now < transmission.expires_at and not (dialling and now >= transmission.connect_expires_at):
            return
        upstream = self.upstream_ids[transmission.upstream]
        if now < (until := self.response_expires_at(transmission, now)):
            transmission.expires_at = until
            self.add_expiry(transmission, until)
            return
        if self.connections.give_up(transmission):
            self.connections.no_response_received(transmission)
            outcome = load_balancing.TIMED_OUT
            logger.debug("attempt timed out", upstream=upstream)
        else:
            # A request whose body is still arriving may be late by its client's fault.
            upstreams_part = dialling or not transmission.active_request.is_body_incomplete
            late = (
                upstreams_part
                and now >= (transmission.connect_expires_at or now)
                and not self.connections.uses_proxy
            )
            outcome = load_balancing.UNCONNECTED if late else load_balancing.UNSENT
            logger.debug("attempt not sent in time", upstream=upstream)
        self.events.append((self.on_attempt_finished, (transmission, outcome, None, now)))
