"""The HTTP end of a stand-in upstream on loopback."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace
from random import Random

import httptools
import pytest

from shedgrade.engines import Engine, EngineSettings, content
from shedgrade.engines.server import EngineServer, Upstream

KEY = b"a key of the lab"
QUICK = EngineSettings(
    slots=2, queue=1, kv_tokens=5000, step_s=0.0005, crowd_s=0.0, prefill_per_s=1e6, stride=4, connect_s=0.0
)
ENDLESS = {"token_usage": "10,4000", "name": "long"}


class Answers:
    """The answers of one connection, as they come."""

    def __init__(self):
        self.parser, self.whole = httptools.HttpResponseParser(self), []
        self.on_message_begin()

    def on_message_begin(self):
        self.headers, self.body = {}, b""

    def on_header(self, name, value):
        self.headers[name.decode().lower()] = value.decode()

    def on_headers_complete(self):
        self.status = self.parser.get_status_code()

    def on_body(self, body):
        self.body += body

    def on_message_complete(self):
        self.whole.append((self.status, self.headers, self.body))


class Client:
    async def open(self, server):
        self.reader, self.writer = await asyncio.open_connection(*server.upstream.address)
        self.answers = Answers()
        return self

    def ask(self, method="POST", path="/a/1", name="id-1", body=b"prompt", **more):
        lines = [f"{method} {path} HTTP/1.1", "Host: x", f"Content-Length: {len(body)}"]
        lines += [f"Attempt-Id: {name}"] if name else []
        lines += [f"{key.replace('_', '-')}: {value}" for key, value in more.items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        self.asked = content.digest(method.encode(), path.encode(), body)

    async def answer(self):
        """The next whole answer: status, headers, body. EOFError if none comes."""
        while not self.answers.whole:
            data = await asyncio.wait_for(self.reader.read(65536), 5)
            if not data:
                raise EOFError(self.answers.body)
            self.answers.parser.feed_data(data)
        return self.answers.whole.pop(0)

    async def begun(self):
        """The head of an answer has come, and something of its body."""
        while not self.answers.body:
            self.answers.parser.feed_data(await asyncio.wait_for(self.reader.read(65536), 5))
        return self.answers.headers

    async def call(self, **more):
        self.ask(**more)
        return await self.answer()


@asynccontextmanager
async def upstream(settings=QUICK, *, cold=False, **more):
    loop = asyncio.get_running_loop()
    given = {"close_chance": 0.0, "work_s": 0.001, **more}
    told = Upstream("i-1", "lm", "z1", ("127.0.0.1", 0), KEY, **given)
    runs = []
    server = EngineServer(
        loop,
        told,
        Engine(settings, loop.time(), cold=cold),
        Random(1),
        runs.append,
        lambda: runs.append("fell"),
    )
    await server.start()
    server.runs, server.clients = runs, []

    async def client():
        server.clients.append(await Client().open(server))
        return server.clients[-1]

    server.client = client
    try:
        yield server
    finally:
        server.close()
        for one in server.clients:
            one.writer.transport.abort()
        await asyncio.sleep(0)


def run(story, *given, **more):
    async def play():
        async with asyncio.timeout(20), upstream(*given, **more) as server:
            await story(server)

    asyncio.run(play())


async def until(condition):
    while not condition():
        await asyncio.sleep(0)


def test_a_success_echoes_the_id_and_bears_the_seal():
    async def story(server):
        client = await server.client()
        status, headers, body = await client.call(name="7f")
        assert status == 200 and headers["attempt-id"] == "7f" and len(body) == 800
        assert content.sealed_by(KEY, headers["server-seal"], "7f", client.asked) == "i-1"
        assert content.sealed_by(KEY, headers["server-seal"], "80", client.asked) is None
        assert server.runs[0].ran_at is not None and server.runs[0].outcome == "done"

    run(story)


def test_a_stream_is_events_with_rising_ids():
    async def story(server):
        client = await server.client()
        status, headers, body = await client.call(token_usage="100,10", prompt_prefix="a:60,b:40")
        assert status == 200 and headers["content-type"] == "text/event-stream" and headers["versions"] == "1"
        assert body == b"".join(
            content.event(client.asked, number, tokens) for number, tokens in ((1, 4), (2, 4), (3, 2))
        )

    run(story)


def test_it_goes_on_behind_last_event_id():
    async def story(server):
        client = await server.client()
        _, _, body = await client.call(token_usage="100,10", last_event_id="2")
        assert body == content.event(client.asked, 3, 2) and server.runs[0].after == 2

    run(story)


def test_another_upstream_than_the_one_meant_answers_421_and_says_who_it_is():
    async def story(server):
        client = await server.client()
        status, headers, _ = await client.call(target_instance="i-2")
        assert status == 421 and headers["instance-id"] == "i-1" and "not-executed" in headers
        assert server.runs[0].ran_at is None
        assert (await client.call(target_instance="i-1"))[0] == 200

    run(story)


def test_other_weights_than_expected_answer_421():
    async def story(server):
        client = await server.client()
        assert (await client.call(model_name="m", expect_version="2"))[0] == 421
        assert (await client.call(model_name="m", expect_version="1"))[0] == 200

    run(story)


def test_a_request_without_an_id_is_400_and_has_not_run():
    async def story(server):
        client = await server.client()
        status, headers, _ = await client.call(name="")
        assert status == 400 and "not-executed" in headers and server.runs[0].ran_at is None

    run(story)


def test_full_is_503_with_not_executed():
    async def story(server):
        for _ in range(3):
            (await server.client()).ask(**ENDLESS)
        await until(lambda: len(server.runs) == 3)
        status, headers, _ = await (await server.client()).call(token_usage="10,4")
        assert status == 503 and "not-executed" in headers and server.runs[-1].ran_at is None

    run(story)


def test_a_deadline_in_the_queue_is_503_and_one_at_work_is_504_or_a_broken_stream():
    async def story(server):
        for _ in range(2):
            (await server.client()).ask(**ENDLESS)
        await until(lambda: len(server.runs) == 2)
        status, headers, _ = await (await server.client()).call(time_remaining="20")
        assert status == 503 and "not-executed" in headers
        server.clients[0].writer.transport.abort()
        await until(lambda: server.runs[0].outcome == "left")
        client = await server.client()
        client.ask(name="x", token_usage="10,4000", time_remaining="60")
        with pytest.raises(EOFError):
            await client.answer()
        assert server.runs[-1].outcome == "late" and server.runs[-1].ran_at is not None
        server.upstream.work_s = 30.0
        status, headers, _ = await (await server.client()).call(name="y", time_remaining="30")
        assert status == 504 and "not-executed" not in headers and server.runs[-1].ran_at is not None

    run(story)


def test_it_stops_when_its_client_leaves():
    async def story(server):
        client = await server.client()
        client.ask(**ENDLESS)
        await client.begun()
        client.writer.transport.abort()
        await until(lambda: not server.engine.jobs)
        assert server.runs[0].outcome == "left" and server.engine.memory.used == 0

    run(story)


def test_one_request_at_a_time_on_a_connection_and_answers_in_order():
    async def story(server):
        client = await server.client()
        for name in ("1", "2", "3"):
            client.ask(name=name, path=f"/{name}")
        names = [(await client.answer())[1]["attempt-id"] for _ in range(3)]
        assert names == ["1", "2", "3"]
        runs = server.runs
        assert runs[0].ran_at < runs[1].ran_at < runs[2].ran_at

    run(story)


def test_connections_beyond_the_cap_are_reset():
    async def story(server):
        for _ in range(2):
            await (await server.client()).call()
        third = await server.client()
        third.ask()
        with pytest.raises((ConnectionError, EOFError)):
            await third.answer()
        assert server.refused == 1

    run(story, max_connections=2)


def test_fewer_connections_are_taken_while_the_queue_is_long():
    async def story(server):
        for _ in range(5):
            (await server.client()).ask(**ENDLESS)
        await until(lambda: len(server.runs) == 5)
        assert server.connection_limit() == 5
        sixth = await server.client()
        with pytest.raises((ConnectionError, EOFError)):
            await sixth.answer()

    run(story, replace(QUICK, queue=4), max_connections=10)


def test_health_names_the_instance_waits_for_a_slot_and_is_503_when_it_leaves():
    async def story(server):
        client = await server.client()
        status, headers, _ = await client.call(method="GET", path="/health", name="")
        assert status == 200 and headers["instance-id"] == "i-1" and "cold-remaining" not in headers
        for _ in range(2):
            (await server.client()).ask(**ENDLESS)
        await until(lambda: len(server.runs) == 2)
        client.ask(method="GET", path="/health", name="")
        await until(lambda: server.engine.waiting)
        assert (await (await server.client()).call(method="GET", path="/health", name=""))[0] == 503
        server.clients[1].writer.transport.abort()
        assert (await client.answer())[0] == 200
        server.drain()
        assert (await client.call(method="GET", path="/health", name=""))[0] == 503

    run(story)


def test_health_tells_how_long_it_stays_cold():
    async def story(server):
        client = await server.client()
        _, headers, _ = await client.call(method="GET", path="/health", name="")
        assert 0 < int(headers["cold-remaining"]) <= 60_000

    run(story, replace(QUICK, cold_s=60.0), cold=True)


def test_report_takes_no_slot_and_is_json():
    async def story(server):
        for _ in range(3):
            (await server.client()).ask(**ENDLESS)
        await until(lambda: len(server.runs) == 3)
        status, headers, body = await (await server.client()).call(method="GET", path="/report", name="")
        assert status == 200 and b'"kvTotal": 5000' in body and b'"stage": "dual"' in body

    run(story)


def test_one_that_leaves_serves_on_and_ends_its_connections():
    async def story(server):
        client = await server.client()
        client.ask(token_usage="10,400")
        await client.begun()
        server.drain()
        assert (await client.answer())[0] == 200
        status, headers, _ = await client.call()
        assert status == 200 and headers["connection"] == "close"
        with pytest.raises(EOFError):
            await client.answer()

    run(story)


def test_connection_close_comes_now_and_then_also_from_one_that_stays():
    async def story(server):
        _, headers, _ = await (await server.client()).call()
        assert headers["connection"] == "close"

    run(story, close_chance=1.0)


def test_idle_connections_are_closed_after_the_time_that_keep_alive_states():
    async def story(server):
        client = await server.client()
        _, headers, _ = await client.call()
        assert headers["keep-alive"] == "timeout=1"
        with pytest.raises(EOFError):
            await client.answer()

    run(story, keep_alive_s=1)


def test_a_cold_one_falls_over_and_resets_all():
    async def story(server):
        client = await server.client()
        client.ask(**ENDLESS)
        await until(lambda: server.runs)
        for _ in range(4):
            (await server.client()).ask(path="/b")
        await until(lambda: "fell" in server.runs)
        with pytest.raises((ConnectionError, EOFError)):
            while True:
                await client.answer()
        assert server.runs[0].outcome == "cut"

    run(story, replace(QUICK, slots=9, cold_s=9.0, cold_rate=2.0, cold_fall=2.0), cold=True)


@pytest.mark.parametrize("trouble", ["cut", "noise", "more", "surplus", "error", "busy"])
def test_troubles_of_an_upstream(trouble):
    async def story(server):
        client = await server.client()
        if trouble == "cut":
            client.ask(token_usage="10,400")
            with pytest.raises(EOFError):
                await client.answer()
            assert server.runs[0].outcome == "cut" and server.runs[0].sent == [1, 2]
            return
        client.ask()
        if trouble == "noise":
            assert (await asyncio.wait_for(client.reader.read(), 5)).startswith(b"\0")
            return
        if trouble == "more":
            with pytest.raises(httptools.HttpParserError):
                await client.answer()
                await client.answer()
            assert client.answers.whole or server.runs[0].outcome == "done"
            return
        status, headers, body = await client.answer()
        assert status == {"error": 500, "busy": 429}.get(trouble, 200)
        assert (server.runs[0].ran_at is None) == (trouble == "busy") == ("not-executed" in headers)
        if trouble == "surplus":
            assert (await client.answer())[1]["attempt-id"] == headers["attempt-id"]

    run(story, troubles={trouble: 1.0})


def test_one_that_goes_dark_says_nothing_and_keeps_its_connections():
    async def story(server):
        client = await server.client()
        await client.call()
        server.stop_responding()
        client.ask()
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(client.answer(), 0.05)
        assert not client.reader.at_eof()

    run(story)


def test_a_second_start_at_the_address_is_another_instance():
    async def story(server):
        server.close()
        loop = asyncio.get_running_loop()
        again = EngineServer(
            loop,
            replace(server.upstream, instance="i-2"),
            Engine(QUICK, loop.time()),
            Random(2),
            server.runs.append,
        )
        await again.start()
        client = await Client().open(again)
        assert (await client.call(target_instance="i-1"))[0] == 421
        assert (await client.call(target_instance="i-2"))[0] == 200
        client.writer.transport.abort()
        again.close()

    run(story)
