"""Stand-in discovery: one agent for each sidecar, with generations, watches, delays, outages and resets."""

import asyncio
import json
from collections.abc import Callable
from random import Random
from urllib.parse import parse_qs, urlsplit

import httptools


class Agent:
    """The agent of one sidecar: the list that it serves, and the connections that watch it."""

    def __init__(self, discovery: "Discovery", number: int) -> None:
        self.discovery, self.number = discovery, number
        self.generation, self.entries, self.changes = 1, {}, []
        self.watchers: set[AgentLink] = set()
        self.links: set[AgentLink] = set()
        self.servers: list = []
        self.backlog: list[tuple[dict, float]] = []  # changes received while discovery was silent

    def apply_change(self, entry: dict) -> None:
        if self.discovery.silent:
            self.backlog.append(entry)
            return
        self.generation += 1
        name = entry["instanceId"]
        self.entries[name] = entry = {**self.entries.get(name, {}), **entry}
        self.changes.append((self.generation, entry))
        if entry["lifecycle"] == "terminated":
            del self.entries[name]
        self.answer_watchers()

    def answer_watchers(self) -> None:
        for link in list(self.watchers):
            link.reply()

    def resume(self) -> None:
        backlog, self.backlog = self.backlog, []
        for entry in backlog:
            self.apply_change(entry)
        for link in list(self.links):
            if link.pending_request is not None:
                link.reply()

    def reset(self) -> None:
        """Restarts the generations; a request for changes after a higher one receives the whole list."""
        self.generation, self.changes = 1, []
        self.answer_watchers()

    def list_after(self, after: int | None) -> dict | None:
        """The whole list, or its changes after this generation; None if there are no newer changes."""
        oldest = self.changes[0][0] - 1 if self.changes else self.generation
        if after is None or after > self.generation or after < min(oldest, self.generation):
            return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}
        newer = [entry for generation, entry in self.changes if generation > after]
        if not newer:
            return None
        return {"generation": self.generation, "reset": False, "instances": newer}


class AgentLink(asyncio.Protocol):
    """One connection from a sidecar to its agent."""

    def __init__(self, agent: Agent, address: tuple[str, int]) -> None:
        self.address = address
        self.agent, self.transport, self.pending_request, self.timer = agent, None, None, None
        self.parser, self.url = httptools.HttpRequestParser(self), b""

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.agent.links.add(self)

    def connection_lost(self, failure) -> None:
        self.agent.links.discard(self)
        self.agent.watchers.discard(self)
        if self.timer is not None:
            self.timer.cancel()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transport.close()

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_message_complete(self) -> None:
        parts = urlsplit(self.url.decode("latin-1"))
        self.url = b""
        query = parse_qs(parts.query)
        after = int(query["after"][0]) if "after" in query else None
        self.pending_request = after, parts.path
        if parts.path != "/discovery/hosts":
            self.write(404, b"{}")
        elif not self.agent.discovery.silent:
            wait = min(60_000, int(query.get("wait_ms", ["0"])[0])) / 1000
            if self.agent.list_after(after) is None and wait:
                self.agent.watchers.add(self)
                self.timer = self.agent.discovery.loop.call_later(wait, self.reply)
            else:
                self.reply()

    def reply(self) -> None:
        if self.pending_request is None or self.agent.discovery.silent:
            return
        self.agent.watchers.discard(self)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        answer = self.agent.list_after(self.pending_request[0]) or {
            "generation": self.agent.generation,
            "reset": False,
            "instances": [],
        }
        self.agent.discovery.record_answer(self.agent.number, answer)
        self.write(200, json.dumps(answer).encode())

    def write(self, status: int, body: bytes) -> None:
        self.pending_request = None
        if not self.transport.is_closing():
            self.transport.write(
                b"HTTP/1.1 %d OK\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n%s" % (status, len(body), body)
            )


class Discovery:
    """All agents; each change reaches each agent after a delay of its own."""

    def __init__(
        self,
        loop,
        clock: Callable[[], float],
        agents: int,
        delay_range: list[float],
        seed: int,
        record: Callable[[dict], None],
    ) -> None:
        self.loop, self.now, self.delay_range, self.record = loop, clock, delay_range, record
        self.rng = Random(f"{seed}/discovery")
        self.agents = [Agent(self, number) for number in range(agents)]
        self.silent, self.extra_delay = False, 0.0
        # Time of the last change by agent and upstream: changes of one upstream keep their order.
        self.last_change_at: dict[tuple[int, str], float] = {}

    async def listen(self, addresses: list[list[tuple[str, int]]]) -> None:
        """Opens two addresses for each agent, so that a new configuration can name the other one."""
        for agent, agent_addresses in zip(self.agents, addresses, strict=True):
            for address in agent_addresses:
                agent.servers.append(
                    await self.loop.create_server(
                        lambda agent=agent, address=address: AgentLink(agent, address), *address
                    )
                )

    async def move(
        self, number: int, old: int, address: tuple[str, int], new_address: tuple[str, int]
    ) -> None:
        """Moves an agent from its old address to its other one.

        The old address takes no new connections from now on, and open ones are reset after 1.5 s.
        """
        agent = self.agents[number]
        if not agent.servers[1 - old].is_serving():
            agent.servers[1 - old] = await self.loop.create_server(
                lambda: AgentLink(agent, new_address), *new_address
            )
        agent.servers[old].close()
        closing_links = [link for link in agent.links if link.address == address]
        self.loop.call_later(1.5, lambda: [link.transport.abort() for link in closing_links])

    def set_initial_lists(self, entries: list[list[dict]]) -> None:
        """Sets the initial list of each agent."""
        for agent, agent_entries in zip(self.agents, entries, strict=True):
            agent.entries = {entry["instanceId"]: entry for entry in agent_entries}

    def change(self, entries: list[dict]) -> None:
        """Announces one upstream's change, with an entry for each agent, as addresses differ by zone."""
        for agent, entry in zip(self.agents, entries, strict=True):
            delay = self.rng.uniform(*self.delay_range) + self.extra_delay
            key = agent.number, entry["instanceId"]
            at = max(self.now() + delay, self.last_change_at.get(key, 0.0) + 0.001)
            self.last_change_at[key] = at
            self.loop.call_later(at - self.now(), agent.apply_change, entry)

    def set_silent(self, on: bool) -> None:
        """Stops all responses if `on`; otherwise applies the changes held back and resumes them."""
        self.silent = on
        if not on:
            for agent in self.agents:
                agent.resume()

    def reset(self) -> None:
        for agent in self.agents:
            agent.reset()

    def record_answer(self, number: int, message: dict) -> None:
        now = round(self.now(), 6)
        for entry in message["instances"]:
            self.record(
                {
                    "k": "told",
                    "sidecar": number,
                    "up": entry["instanceId"],
                    "at": now,
                    "lifecycle": entry["lifecycle"],
                }
            )
        if message["reset"]:
            self.record(
                {
                    "k": "whole",
                    "sidecar": number,
                    "at": now,
                    "ups": [entry["instanceId"] for entry in message["instances"]],
                }
            )
