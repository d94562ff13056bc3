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
CORRUPT_RESPONSES = ("noise", "endless", "short", "huge", "both", "cut")
# Correct responses with excess data before or after them.
EXCESS_RESPONSES = ("twice", "behind", "ahead")


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
        self.cut_off = False  # if set, nothing is read or written any more
        self.last_used_at = server.loop.time()
        self.clear()

    def clear(self) -> None:
        self.headers, self.target, self.size, self.request_started = {}, b"", 0, None

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.server.links.add(self)

    def connection_lost(self, failure) -> None:
        self.server.links.discard(self)
        if self.entry is not None:
            self.server.connection_ended(self)

    def data_received(self, data: bytes) -> None:
        if self.cut_off:
            return
        if self.request_started is None:
            self.request_started = self.server.now()
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
        headers, target, request_started = self.headers, self.target, self.request_started
        size = self.size
        self.clear()
        name = headers.get(b"x-request-id")
        if name is None or self.entry is not None:
            self.answer(404 if name is None else 400, b"", last=True)
            return
        self.server.request_received(self, name.decode("latin-1"), target, headers, request_started, size)

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
        if not self.cut_off and not self.transport.is_closing():
            self.transport.write(data)
            self.last_used_at = self.server.loop.time()

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
        self.rng = Random(f"{seed}/{name}")
        spread = group.speed_spread
        self.capacity = Capacity(
            group.cores,
            group.speed * (1 + self.rng.uniform(-spread, spread)),
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
        self.corrupt_share, self.number = 0.0, 0
        self.timer, self.timer_at = None, inf
        self.transmissions: dict[tuple, dict] = {}  # running and queued ones by the model's key

    def begin_cold_phase(self) -> None:
        """Starts the cold phase at the start of the load for an upstream that was created before it."""
        if self.capacity.started < -1000:
            self.capacity.started = self.capacity.at = self.now()

    # --- listening

    def listen(self) -> None:
        for zone in range(len(self.latency)):
            self.open_listener(zone)
        self.loop.call_later(1.0, self.close_idle)

    def open_listener(self, zone: int) -> None:
        listener = socket.create_server(address(zone, self.slot, self.port), backlog=1024)
        listener.setblocking(False)
        self.listeners[zone] = listener
        self.loop.add_reader(listener, self.accept, zone)

    def close_listener(self, zone: int) -> None:
        listener = self.listeners.pop(zone, None)
        if listener is not None:
            self.loop.remove_reader(listener)
            listener.close()

    def accept(self, zone: int) -> None:
        for _ in range(64):
            listener = self.listeners.get(zone)
            if listener is None:
                return
            try:
                accepted, _ = listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as failure:
                if failure.errno in (errno.EMFILE, errno.ENFILE):
                    self.record({"k": "trouble", "what": f"{self.name}: descriptors ran out in the fleet"})
                return
            if len(self.links) >= self.group.connections:
                accepted.close()
                continue
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.loop.create_task(self.set_up_connection(accepted, zone))

    async def set_up_connection(self, accepted: socket.socket, zone: int) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: Link(self, zone), accepted)
        except OSError:
            accepted.close()

    def close_idle(self) -> None:
        """Closes connections that have been idle for too long."""
        if self.stopped:
            return
        oldest = self.loop.time() - self.group.idle_close_ms / 1000
        for link in [link for link in self.links if link.entry is None and link.last_used_at < oldest]:
            link.transport.close()
        self.loop.call_later(1.0, self.close_idle)

    # --- transmissions

    def request_received(
        self, link: Link, name: str, target: bytes, headers: dict, request_started: float, size: int
    ) -> None:
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
            "begun": round(request_started, 6),
            "whole": round(now, 6),
            "work": work,
            "fresh": link.first,
            "how": "",
            "ran": False,
        }
        link.first = False
        entry["pad"] = int(headers.get(b"x-lab-body", b"16"))
        if self.refusing or self.draining:
            self.reject(link)
            return
        delay = self.latency[link.origin]
        if delay:
            self.loop.call_later(delay, self.enqueue, link, entry)
        else:
            self.enqueue(link, entry)

    def enqueue(self, link: Link, entry: dict) -> None:
        if link.entry is not entry or self.stopped:
            return
        now = self.now()
        self.complete_finished(now)
        key = (id(link), self.number)
        self.number += 1
        entry["key"] = key
        sidecar = entry["id"].split(".", 1)[0]
        verdict = self.capacity.take(now, key, entry["work"], sidecar)
        if verdict == DOWN:
            self.crash_from_overload()
        elif verdict == AWAY:
            self.reject(link)
        else:
            entry["link"] = link
            self.transmissions[key] = entry
            self.set_timer()

    def reject(self, link: Link) -> None:
        self.end_transmission(link, "away")
        link.answer(503, b"", b"X-Not-Processed: 1")

    def end_transmission(self, link: Link, how: str) -> None:
        """Ends the transmission in progress on a connection and writes its record, with the outcome `how`."""
        entry, link.entry = link.entry, None
        self.transmissions.pop(entry.pop("key", None), None)
        entry.pop("link", None)
        entry.pop("pad", None)
        entry["how"], entry["end"] = how, round(self.now(), 6)
        self.record(entry)

    def connection_ended(self, link: Link) -> None:
        """Ends a transmission whose connection closed: the sidecar gave it up, or a fault cut it."""
        key = link.entry.get("key")
        if key is not None and key in self.transmissions:
            now = self.now()
            self.complete_finished(now)
            if link.entry is None:
                return
            link.entry["ran"] = link.entry["ran"] or self.capacity.ran(key)
            if self.group.cancels:
                self.capacity.cancel(now, key)
                self.set_timer()
        self.end_transmission(link, "cut" if link.cut_off else "left")

    def set_timer(self) -> None:
        at = inf if self.hanging or self.stopped else self.capacity.next_end()
        if at == self.timer_at:
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer, self.timer_at = None, at
        if at < inf:
            self.timer = self.loop.call_later(max(0.0, at - self.now()), self.timer_expired)

    def timer_expired(self) -> None:
        self.timer, self.timer_at = None, inf
        self.complete_finished(self.now())
        self.set_timer()

    def complete_finished(self, now: float) -> None:
        if self.hanging:
            return
        for _, key in self.capacity.ends(now):
            entry = self.transmissions.get(key)
            if entry is None:
                continue
            entry["ran"] = True
            link, delay = entry["link"], self.latency[entry["link"].origin]
            if delay:
                self.loop.call_later(delay, self.reply, link, entry)
            else:
                self.reply(link, entry)

    def reply(self, link: Link, entry: dict) -> None:
        if link.entry is not entry or link.cut_off:
            return
        body = f"{entry['id']} {self.name} {self.number}".encode()
        body += b" " * max(0, entry.pop("pad") - len(body))
        if self.group.error_rate and self.rng.random() < self.group.error_rate:
            self.end_transmission(link, "error")
            link.answer(500, b"")
        elif self.corrupt_share and self.rng.random() < self.corrupt_share:
            self.send_corrupted(link, body, self.rng.choice(CORRUPT_RESPONSES + EXCESS_RESPONSES))
        else:
            self.end_transmission(link, "done")
            link.answer(200, body)

    def send_corrupted(self, link: Link, body: bytes, kind: str) -> None:
        good = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        self.end_transmission(link, "done" if kind in EXCESS_RESPONSES else "spoilt")
        link.send(
            {
                "noise": bytes(self.rng.randrange(256) for _ in range(200)) + b"\r\n\r\n",
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

    def crash_from_overload(self) -> None:
        """Stays down after the overload of a cold start, and records it."""
        if not self.stopped:
            self.record(
                {"k": "fell", "up": self.name, "cold_since": self.capacity.started, **self.capacity.fell}
            )
            self.kill()

    def kill(self) -> None:
        """Acts as if the process died: open connections are reset, new ones refused."""
        self.complete_finished(self.now())
        self.stopped = True
        for zone in list(self.listeners):
            self.close_listener(zone)
        for filler in self.fillers:
            filler.close()
        for link in list(self.links):
            if link.entry is not None:
                key = link.entry.get("key")
                link.entry["ran"] = link.entry["ran"] or (key is not None and self.capacity.ran(key))
                self.end_transmission(link, "died")
            link.reset()
        self.set_timer()

    def hang(self, on: bool) -> None:
        """Accepts requests but stops all work and responses while on; resumes them afterwards."""
        now = self.now()
        self.complete_finished(now)
        self.hanging = on
        self.capacity.set_machine_share(now, 0.0 if on else 1.0)
        self.set_timer()

    def refuse(self, on: bool) -> None:
        """Refuses new connections, and answers 503 to requests on open ones."""
        self.refusing = on
        if self.stopped:
            return
        for zone in range(len(self.latency)):
            if on:
                self.close_listener(zone)
            elif zone not in self.listeners:
                self.open_listener(zone)

    def set_speed(self, factor: float) -> None:
        self.complete_finished(self.now())
        self.capacity.set_machine_share(self.now(), factor)
        self.set_timer()

    def reset(self) -> None:
        """Resets all connections and cancels their work, which counts as run where it had begun."""
        for link in list(self.links):
            if link.entry is not None:
                key = link.entry.get("key")
                link.entry["ran"] = link.entry["ran"] or (key is not None and self.capacity.ran(key))
                if key is not None:
                    self.capacity.cancel(self.now(), key)
                self.end_transmission(link, "reset")
            link.reset()
        self.set_timer()

    def drain(self) -> None:
        """Completes the requests that it holds, and answers 503 to new ones."""
        self.draining = self.capacity.draining = True

    def cut(self, zones: set[int]) -> None:
        """Cuts the network to these zones, and restores it to zones that were cut before.

        Open connections stay open without traffic, and are reset once the zone is restored. New connections
        are not answered.
        """
        restored_zones, self.cut_zones = self.cut_zones - zones, zones
        for link in self.links:
            if link.origin in zones and not link.cut_off:
                link.cut_off = True
                link.transport.pause_reading()
        for link in [link for link in self.links if link.cut_off and link.origin in restored_zones]:
            link.reset()
        for zone in restored_zones:
            self.close_listener(zone)
            if not self.stopped:
                self.open_listener(zone)
        for zone in zones:
            listener = self.listeners.get(zone)
            if listener is not None:
                self.loop.remove_reader(listener)
                self.fill_accept_queue(zone, listener)

    def fill_accept_queue(self, zone: int, listener: socket.socket) -> None:
        """Fills the accept queue, so that the kernel drops new connections as if the machine were gone."""
        listener.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
            self.fillers.append(filler)
