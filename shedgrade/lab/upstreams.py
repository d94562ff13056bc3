"""Stand-in upstreams on loopback: the platform's HTTP interface in front of the capacity model.

An upstream listens on one address for each zone that calls come from, so that links between zones can be cut
and be given a latency. `record` receives one entry for each transmission, once its end is known. The
upstreams make no decisions of their own.
"""

import asyncio
import contextlib
import errno
import socket
import struct
from collections.abc import Callable
from math import inf
from random import Random

import httptools

from shedgrade.lab.capacity import AWAY, DOWN, Capacity
from shedgrade.lab.scenario import Group

REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 500: b"Oops", 503: b"Busy"}
LONGEST = 80 * 1024
# Corrupt responses to requests that have run.
SPOILT = ("noise", "endless", "short", "huge", "both", "cut")
# Correct responses with excess data before or after them.
EXTRA = ("twice", "behind", "ahead")


def address(zone: int, slot: int, port: int) -> tuple[str, int]:
    """The address on which the upstream in this slot listens for calls from this zone."""
    return f"127.{20 + zone}.{slot // 250}.{1 + slot % 250}", port


class Link(asyncio.Protocol):
    """One connection from a sidecar; it carries one request at a time."""

    def __init__(self, server: "Upstream", origin: int) -> None:
        self.server, self.origin = server, origin
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.entry: dict | None = None  # record of the transmission in progress
        self.first = True
        self.dead = False  # cut off: nothing is read or written any more
        self.used = server.loop.time()
        self.clear()

    def clear(self) -> None:
        self.headers, self.target, self.size, self.begun = {}, b"", 0, None

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.server.links.add(self)

    def connection_lost(self, failure) -> None:
        self.server.links.discard(self)
        if self.entry is not None:
            self.server.left(self)

    def data_received(self, data: bytes) -> None:
        if self.dead:
            return
        if self.begun is None:
            self.begun = self.server.now()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.answer(400, b"", last=True)

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self.size += len(body)

    def on_message_complete(self) -> None:
        headers, target, begun = self.headers, self.target, self.begun
        size = self.size
        self.clear()
        name = headers.get(b"x-request-id")
        if name is None or self.entry is not None:
            self.answer(404 if name is None else 400, b"", last=True)
            return
        self.server.arrived(self, name.decode("latin-1"), target, headers, begun, size)

    def answer(self, status: int, body: bytes, *headers: bytes, last: bool = False) -> None:
        lines = b"".join(b"%s\r\n" % header for header in headers)
        if last:
            lines += b"Connection: close\r\n"
        self.send(
            b"HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s"
            % (status, REASONS[status], lines, len(body), body)
        )
        if last:
            self.transport.close()

    def send(self, data: bytes) -> None:
        if not self.dead and not self.transport.is_closing():
            self.transport.write(data)
            self.used = self.server.loop.time()

    def reset(self) -> None:
        """Closes the connection with a TCP reset, as the kernel does for a process that died."""
        raw = self.transport.get_extra_info("socket")
        if raw is not None and not self.transport.is_closing():
            with contextlib.suppress(OSError):
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()


class Upstream:
    """One stand-in upstream from its start to its end; a restart creates another object."""

    def __init__(
        self,
        loop,
        clock: Callable[[], float],
        name: str,
        group: Group,
        zone: int,
        slot: int,
        port: int,
        cold: bool,
        latency: list[float],
        seed: int,
        record: Callable[[dict], None],
    ) -> None:
        self.loop, self.now, self.name, self.group, self.record = loop, clock, name, group, record
        self.zone, self.slot, self.port, self.latency = zone, slot, port, latency
        self.chance = Random(f"{seed}/{name}")
        spread = group.speed_spread
        self.capacity = Capacity(
            group.cores,
            group.speed * (1 + self.chance.uniform(-spread, spread)),
            group.queue,
            clock(),
            cold_from=group.cold_from,
            cold=group.cold_ms / 1000 if cold else 0.0,
            fall_multiple=group.fall_multiple,
            overload=group.overload_ms / 1000,
            crowd_at=group.crowd_at,
            crowd_slow=group.crowd_slow,
        )
        self.links: set[Link] = set()
        self.listeners: dict[int, socket.socket] = {}
        self.fillers: list[socket.socket] = []
        self.hanging = self.refusing = self.draining = self.stopped = False
        self.cut_zones: set[int] = set()
        self.spoil, self.number = 0.0, 0
        self.timer, self.timer_at = None, inf
        self.keys: dict[tuple, dict] = {}  # records of running and queued transmissions by the model's key

    def warm_from_now(self) -> None:
        """Starts the cold phase at the start of the load for an upstream that was created before it."""
        if self.capacity.started < -1000:
            self.capacity.started = self.capacity.at = self.now()

    # --- listening

    def listen(self) -> None:
        for zone in range(len(self.latency)):
            self.open(zone)
        self.loop.call_later(1.0, self.sweep)

    def open(self, zone: int) -> None:
        place = socket.create_server(address(zone, self.slot, self.port), backlog=1024)
        place.setblocking(False)
        self.listeners[zone] = place
        self.loop.add_reader(place, self.accept, zone)

    def shut(self, zone: int) -> None:
        place = self.listeners.pop(zone, None)
        if place is not None:
            self.loop.remove_reader(place)
            place.close()

    def accept(self, zone: int) -> None:
        for _ in range(64):
            place = self.listeners.get(zone)
            if place is None:
                return
            try:
                made, _ = place.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as failure:
                if failure.errno in (errno.EMFILE, errno.ENFILE):
                    self.record({"k": "trouble", "what": f"{self.name}: descriptors ran out in the fleet"})
                return
            if len(self.links) >= self.group.connections:
                made.close()
                continue
            made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.loop.create_task(self.take(made, zone))

    async def take(self, made: socket.socket, zone: int) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: Link(self, zone), made)
        except OSError:
            made.close()

    def sweep(self) -> None:
        """Closes connections that have been idle for too long."""
        if self.stopped:
            return
        late = self.loop.time() - self.group.idle_close_ms / 1000
        for link in [link for link in self.links if link.entry is None and link.used < late]:
            link.transport.close()
        self.loop.call_later(1.0, self.sweep)

    # --- transmissions

    def arrived(self, link: Link, name: str, target: bytes, headers: dict, begun: float, size: int) -> None:
        now = self.now()
        work = float(headers.get(b"x-lab-work", b"1"))
        if link.first:
            work += self.group.handshake_ms
        entry = link.entry = {
            "k": "tx",
            "id": name,
            "up": self.name,
            "zone": self.zone,
            "from": link.origin,
            "begun": round(begun, 6),
            "whole": round(now, 6),
            "work": work,
            "fresh": link.first,
            "how": "",
            "ran": False,
        }
        link.first = False
        entry["pad"] = int(headers.get(b"x-lab-body", b"16"))
        if self.refusing or self.draining:
            self.away(link)
            return
        delay = self.latency[link.origin]
        if delay:
            self.loop.call_later(delay, self.queue, link, entry)
        else:
            self.queue(link, entry)

    def queue(self, link: Link, entry: dict) -> None:
        if link.entry is not entry or self.stopped:
            return
        now = self.now()
        self.finish(now)
        key = (id(link), self.number)
        self.number += 1
        entry["key"] = key
        whom = entry["id"].split(".", 1)[0]
        verdict = self.capacity.take(now, key, entry["work"], whom)
        if verdict == DOWN:
            self.fall()
        elif verdict == AWAY:
            self.away(link)
        else:
            entry["link"] = link
            self.keys[key] = entry
            self.arm()

    def away(self, link: Link) -> None:
        self.told(link, "away")
        link.answer(503, b"", b"X-Not-Processed: 1")

    def told(self, link: Link, how: str) -> None:
        """Ends the transmission in progress on a connection and writes its record, with the outcome `how`."""
        entry, link.entry = link.entry, None
        self.keys.pop(entry.pop("key", None), None)
        entry.pop("link", None)
        entry.pop("pad", None)
        entry["how"], entry["end"] = how, round(self.now(), 6)
        self.record(entry)

    def left(self, link: Link) -> None:
        """Ends a transmission whose connection closed: the sidecar gave it up, or a fault cut it."""
        key = link.entry.get("key")
        if key is not None and key in self.keys:
            now = self.now()
            self.finish(now)
            if link.entry is None:
                return
            link.entry["ran"] = link.entry["ran"] or self.capacity.ran(key)
            if self.group.cancels:
                self.capacity.cancel(now, key)
                self.arm()
        self.told(link, "cut" if link.dead else "left")

    def arm(self) -> None:
        at = inf if self.hanging or self.stopped else self.capacity.next_end()
        if at == self.timer_at:
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer, self.timer_at = None, at
        if at < inf:
            self.timer = self.loop.call_later(max(0.0, at - self.now()), self.due)

    def due(self) -> None:
        self.timer, self.timer_at = None, inf
        self.finish(self.now())
        self.arm()

    def finish(self, now: float) -> None:
        if self.hanging:
            return
        for _, key in self.capacity.ends(now):
            entry = self.keys.get(key)
            if entry is None:
                continue
            entry["ran"] = True
            link, delay = entry["link"], self.latency[entry["link"].origin]
            if delay:
                self.loop.call_later(delay, self.reply, link, entry)
            else:
                self.reply(link, entry)

    def reply(self, link: Link, entry: dict) -> None:
        if link.entry is not entry or link.dead:
            return
        body = f"{entry['id']} {self.name} {self.number}".encode()
        body += b" " * max(0, entry.pop("pad") - len(body))
        if self.group.error_rate and self.chance.random() < self.group.error_rate:
            self.told(link, "error")
            link.answer(500, b"")
        elif self.spoil and self.chance.random() < self.spoil:
            self.spoiled(link, body, self.chance.choice(SPOILT + EXTRA))
        else:
            self.told(link, "done")
            link.answer(200, body)

    def spoiled(self, link: Link, body: bytes, kind: str) -> None:
        good = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        self.told(link, "done" if kind in EXTRA else "spoilt")
        link.send(
            {
                "noise": bytes(self.chance.randrange(256) for _ in range(200)) + b"\r\n\r\n",
                "endless": b"HTTP/1.1 200 OK\r\n" + b"X-More: x\r\n" * 8000,
                "short": b"HTTP/1.1 200 OK\r\nContent-Length: zzz\r\n\r\n" + body,
                "huge": b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + body * 100,
                "both": b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n" + body,
                "cut": good[: -len(body) // 2],
                "twice": good + good,
                "behind": good + b"noise behind",
                "ahead": b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + good,
            }[kind]
        )
        if kind == "cut":
            link.transport.close()

    # --- faults

    def fall(self) -> None:
        """Stays down after the overload of a cold start, and records it."""
        if not self.stopped:
            self.record(
                {"k": "fell", "up": self.name, "cold_since": self.capacity.started, **self.capacity.fell}
            )
            self.kill()

    def kill(self) -> None:
        """Acts as if the process died: open connections are reset, new ones refused."""
        self.finish(self.now())
        self.stopped = True
        for zone in list(self.listeners):
            self.shut(zone)
        for one in self.fillers:
            one.close()
        for link in list(self.links):
            if link.entry is not None:
                key = link.entry.get("key")
                link.entry["ran"] = link.entry["ran"] or (key is not None and self.capacity.ran(key))
                self.told(link, "died")
            link.reset()
        self.arm()

    def hang(self, on: bool) -> None:
        """Accepts requests but stops all work and responses while on; resumes them afterwards."""
        now = self.now()
        self.finish(now)
        self.hanging = on
        self.capacity.speed_now(now, 0.0 if on else 1.0)
        self.arm()

    def refuse(self, on: bool) -> None:
        """Refuses new connections, and answers 503 to requests on open ones."""
        self.refusing = on
        if self.stopped:
            return
        for zone in range(len(self.latency)):
            if on:
                self.shut(zone)
            elif zone not in self.listeners:
                self.open(zone)

    def speed(self, factor: float) -> None:
        self.finish(self.now())
        self.capacity.speed_now(self.now(), factor)
        self.arm()

    def reset(self) -> None:
        """Resets all connections and cancels their work, which counts as run where it had begun."""
        for link in list(self.links):
            if link.entry is not None:
                key = link.entry.get("key")
                link.entry["ran"] = link.entry["ran"] or (key is not None and self.capacity.ran(key))
                if key is not None:
                    self.capacity.cancel(self.now(), key)
                self.told(link, "reset")
            link.reset()
        self.arm()

    def drain(self) -> None:
        """Completes the requests that it holds, and answers 503 to new ones."""
        self.draining = self.capacity.draining = True

    def cut(self, zones: set[int]) -> None:
        """Cuts the network to these zones, and restores it to zones that were cut before.

        Open connections stay open without traffic, and are reset once the zone is restored. New connections
        are not answered.
        """
        back, self.cut_zones = self.cut_zones - zones, zones
        for link in self.links:
            if link.origin in zones and not link.dead:
                link.dead = True
                link.transport.pause_reading()
        for link in [link for link in self.links if link.dead and link.origin in back]:
            link.reset()
        for zone in back:
            self.shut(zone)
            if not self.stopped:
                self.open(zone)
        for zone in zones:
            place = self.listeners.get(zone)
            if place is not None:
                self.loop.remove_reader(place)
                self.fill(zone, place)

    def fill(self, zone: int, place: socket.socket) -> None:
        """Fills the accept queue, so that the kernel drops new connections as if the machine were gone."""
        place.listen(0)
        for _ in range(3):
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex(place.getsockname())
            self.fillers.append(one)
