"""Core members with their real `Member`, `CommandRouter` and `OperatorApi` on an asyncio loop of virtual
time.

Frames between members and requests of callers have delays; a `Process` may be stopped and thawed (what came
meanwhile lies unread in its buffers, its timers are late), and links may be cut: what was under way is held
and comes when the cut ends, in order.
"""

from collections import deque
from collections.abc import Callable
from random import Random

from shedgrade.controlplane.command_router import CommandRouter
from shedgrade.controlplane.commands import make_decide
from shedgrade.controlplane.operator_api import OperatorApi
from shedgrade.http.server import Request
from shedgrade.peer_transport.connection import PeerCallError
from shedgrade.replication import Answer, Committed, Member, Persist, Send
from shedgrade.runtime.stall_detection import ArrivalClock

ZONES = {"hall-1": "north", "hall-2": "south", "hall-3": "south", "hall-4": "west"}
NAMES = ("a", "b", "c")
DISK = 0.004  # s of one write
TIMER, FRAME, REQUEST = range(3)  # in which order a process that is thawed meets what is due


class ProcessLoop:
    """The loop as one process sees it: while it is stopped nothing runs, and all is late afterwards."""

    def __init__(self, loop):
        self.loop, self.stopped = loop, False
        self.unread: deque[tuple[int, Callable[[], None]]] = deque()

    def time(self):
        return self.loop.time()

    def run(self, kind, job):
        if self.stopped:
            self.unread.append((kind, job))
        else:
            job()

    def call_later(self, delay, callback, *args):
        timer = Timer(lambda: callback(*args))
        self.loop.call_later(delay, self.run, TIMER, timer.fire)
        return timer

    def create_task(self, coroutine):
        return self.loop.create_task(coroutine)

    def stop(self):
        self.stopped = True

    def thaw(self):
        """Timers that are due run first, as in libuv. Then, at worst, what the others said is read, and
        after it what callers asked meanwhile."""
        self.stopped = False
        unread, self.unread = sorted(self.unread, key=lambda each: each[0]), deque()
        for kind, job in unread:
            self.run(kind, job)


class Timer:
    def __init__(self, job):
        self.job, self.cancelled = job, False

    def cancel(self):
        self.cancelled = True

    def fire(self):
        if not self.cancelled:
            self.job()


class Process:
    """One core process. `links` of its `CommandRouter` is itself."""

    def __init__(self, net, name):
        self.net, self.name, self.address = net, name, f"{name}:1"
        self.loop = ProcessLoop(net.loop)
        self.calls: dict[int, Callable[[bytes], None]] = {}
        self.disk: dict[str, bytes] = {}
        self.pumping, self.last_call, self.wake = False, 0, None
        self.member = Member(
            name,
            self.address,
            founding=True,
            seeds=tuple(f"{one}:1" for one in NAMES),
            tolerated=1,
            found=None,
            random=Random(f"{net.seed}{name}"),
            now=net.loop.time(),
            decide=net.decide,
        )
        self.command_router = CommandRouter(self.loop, self.member, self, self.pump)
        self.operator_api = OperatorApi(self.command_router)
        self.arrivals = ArrivalClock(self.loop, self.loop.time)
        self.arrivals.start()
        self.pump()

    def pump(self):
        if self.pumping:
            return
        self.pumping = True
        while self.member.effects:
            match self.member.effects.pop(0):
                case Send(to, message):
                    self.net.frame(
                        self.name,
                        to[0],
                        lambda process, message=message: process.heard(self.address, message),
                    )
                case Persist(token, changes):
                    self.disk.update(changes)
                    self.loop.call_later(DISK, self.persisted, token)
                case Answer(ticket, outcome):
                    self.command_router.on_member_outcome(ticket, outcome)
                case Committed(epoch, sequence, state):
                    self.net.learnt((epoch, sequence), state)
        self.pumping = False
        self.command_router.check_invariants()
        if self.wake is not None:
            self.wake.cancel()
        delay = max(self.member.wake_at() - self.loop.time(), 0.001)
        self.wake = self.loop.call_later(min(delay, 10.0), self.tick)

    def tick(self):
        self.member.tick(self.loop.time())
        self.pump()

    def persisted(self, token):
        self.member.persisted(self.loop.time(), token, True)
        self.pump()

    def heard(self, sender, message):
        self.member.receive(self.loop.time(), sender, message)
        self.pump()

    # --- links

    async def call(self, address, body, timeout):
        self.last_call += 1
        number, answer = self.last_call, self.net.loop.create_future()
        self.calls[number] = lambda body: answer.done() or answer.set_result(body)
        self.loop.call_later(timeout, lambda: answer.done() or answer.set_exception(PeerCallError("late")))
        self.net.frame(self.name, address[0], lambda other: other.forwarded(self.name, number, body))
        try:
            return await answer
        finally:
            del self.calls[number]

    def forwarded(self, sender, number, body):
        self.command_router.on_forwarded(
            body[1:],
            lambda said: self.net.frame(
                self.name, sender, lambda other: other.calls.get(number, lambda said: None)(said)
            ),
        )


class Net:
    """`delay`: s of one way. `loses()`: whether an answer to a caller is lost."""

    def __init__(self, loop, seed=1, delay=0.02, decide=None):
        self.loop, self.seed, self.delay = loop, seed, delay
        self.decide = decide or make_decide(ZONES)
        self.random = Random(seed)
        self.cuts: dict[frozenset[str], list[tuple]] = {}  # by pair of ends: what is held up
        self.newest: dict[tuple[str, str], float] = {}  # by way: when what was sent last comes
        self.loses = lambda: False
        self.finished = lambda state: None
        self.newest_mark = (0, 0)
        self.processes = {name: Process(self, name) for name in NAMES}

    def frame(self, sender, receiver, job):
        process = self.processes[receiver]
        self.carry(sender, receiver, lambda: process.loop.run(FRAME, lambda: job(process)))

    def carry(self, sender, receiver, job):
        held = self.cuts.get(frozenset((sender, receiver)))
        if held is not None:
            held.append((sender, receiver, job))
        else:
            self.send(sender, receiver, job)

    def send(self, sender, receiver, job):
        """In order on each way, as a stream has it."""
        at = max(self.loop.time() + self.delay, self.newest.get((sender, receiver), 0.0) + 1e-6)
        self.newest[sender, receiver] = at
        self.loop.call_at(at, job)

    def cut(self, *pairs):
        for pair in pairs:
            self.cuts.setdefault(frozenset(pair), [])

    def heal(self):
        cuts, self.cuts = self.cuts, {}
        for held in cuts.values():
            for frame in held:
                self.send(*frame)

    def learnt(self, mark, state):
        """`finished` is told each state once, when the first member learns that it is finished."""
        if mark > self.newest_mark:
            self.newest_mark = mark
            self.finished(state)

    def primary(self):
        found = [
            name
            for name, process in self.processes.items()
            if process.member.role == "primary" and not process.loop.stopped
        ]
        return found[0] if found else None


class Call:
    """One call of a caller, whose end of the connection is `caller`."""

    def __init__(self, net, caller, name, method, path, body=b"", base=None):
        self.net, self.process = net, net.processes[name]
        self.caller, self.name = caller, name
        self.answer = net.loop.create_future()
        self.closed = self.fin_came = False
        self.sent_at, self.answered_at = net.loop.time(), None
        headers = {} if base is None else {b"if-match": b"%d" % base}
        request = Request(method.encode(), path.encode(), {}, headers, body, None, lambda: self.fin_came)
        net.carry(caller, name, lambda: self.process.loop.run(REQUEST, lambda: self.read(request)))

    def read(self, request):
        request.arrived_after = self.process.arrivals.earliest()
        self.process.operator_api.handle(request, self.told)

    def told(self, reply):
        def came():
            if not self.closed and not self.answer.done():
                self.answered_at = self.net.loop.time()
                self.answer.set_result(reply)

        if not self.net.loses():
            self.net.carry(self.name, self.caller, came)

    def close(self):
        self.closed = True
        self.net.carry(self.caller, self.name, self.fin)

    def fin(self):
        """The kernel knows, also while the process stands still."""
        self.fin_came = True
