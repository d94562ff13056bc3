"""The HTTP server of a stand-in upstream, on loopback."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace
from random import Random

import httptools
import pytest

from shedgrade.engines import Engine, EngineSettings, content
from shedgrade.engines.server import EngineServer, Upstream

KEY = b"a key of the lab"
FAST_SETTINGS = EngineSettings(
    slots=2, queue=1, kv_tokens=5000, step_s=0.0005, crowd_s=0.0, prefill_per_s=1e6, stride=4, connect_s=0.0
)
LONG_REQUEST = {"token_usage": "10,4000", "attempt_id": "long"}


class ResponseParser:
    """Collects the responses of one connection as they are received."""

    def __init__(self):
        self.parser, self.responses = httptools.HttpResponseParser(self), []
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
        self.responses.append((self.status, self.headers, self.body))


class Client:
    async def open(self, server):
        self.reader, self.writer = await asyncio.open_connection(*server.upstream.address)
        self.response_parser = ResponseParser()
        return self

    def send_request(self, method="POST", path="/a/1", attempt_id="id-1", body=b"prompt", **headers):
        lines = [f"{method} {path} HTTP/1.1", "Host: x", f"Content-Length: {len(body)}"]
        lines += [f"Attempt-Id: {attempt_id}"] if attempt_id else []
        lines += [f"{key.replace('_', '-')}: {value}" for key, value in headers.items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        self.request_digest = content.digest(method.encode(), path.encode(), body)

    async def read_response(self):
        """The next complete response: status, headers, body. EOFError if the connection ends before."""
        while not self.response_parser.responses:
            data = await asyncio.wait_for(self.reader.read(65536), 5)
            if not data:
                raise EOFError(self.response_parser.body)
            self.response_parser.parser.feed_data(data)
        return self.response_parser.responses.pop(0)

    async def wait_for_body(self):
        """Waits until some of a response's body has been received. Returns the headers."""
        while not self.response_parser.body:
            self.response_parser.parser.feed_data(await asyncio.wait_for(self.reader.read(65536), 5))
        return self.response_parser.headers

    async def call(self, **options):
        self.send_request(**options)
        return await self.read_response()


@asynccontextmanager
async def running_server(settings=FAST_SETTINGS, *, cold=False, **overrides):
    loop = asyncio.get_running_loop()
    options = {"close_chance": 0.0, "work_s": 0.001, **overrides}
    upstream = Upstream("i-1", "lm", "z1", ("127.0.0.1", 0), KEY, **options)
    runs = []
    server = EngineServer(
        loop,
        upstream,
        Engine(settings, loop.time(), cold=cold),
        Random(1),
        runs.append,
        lambda: runs.append("crashed"),
    )
    await server.start()
    server.runs, server.clients = runs, []

    async def open_client():
        server.clients.append(await Client().open(server))
        return server.clients[-1]

    server.open_client = open_client
    try:
        yield server
    finally:
        server.close()
        for opened_client in server.clients:
            opened_client.writer.transport.abort()
        await asyncio.sleep(0)


def run_scenario(scenario, *options, **overrides):
    async def main():
        async with asyncio.timeout(20), running_server(*options, **overrides) as server:
            await scenario(server)

    asyncio.run(main())


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0)


def test_a_success_carries_the_attempt_id_and_a_seal():
    async def scenario(server):
        client = await server.open_client()
        status, headers, body = await client.call(attempt_id="7f")
        assert status == 200 and headers["attempt-id"] == "7f" and len(body) == 800
        assert content.sealed_by(KEY, headers["server-seal"], "7f", client.request_digest) == "i-1"
        assert content.sealed_by(KEY, headers["server-seal"], "80", client.request_digest) is None
        assert server.runs[0].ran_at is not None and server.runs[0].outcome == "done"

    run_scenario(scenario)


def test_a_stream_consists_of_events_with_ascending_ids():
    async def scenario(server):
        client = await server.open_client()
        status, headers, body = await client.call(token_usage="100,10", prompt_prefix="a:60,b:40")
        assert status == 200 and headers["content-type"] == "text/event-stream" and headers["versions"] == "1"
        assert body == b"".join(
            content.event(client.request_digest, number, tokens)
            for number, tokens in ((1, 4), (2, 4), (3, 2))
        )

    run_scenario(scenario)


def test_a_stream_is_resumed_after_last_event_id():
    async def scenario(server):
        client = await server.open_client()
        _, _, body = await client.call(token_usage="100,10", last_event_id="2")
        assert body == content.event(client.request_digest, 3, 2) and server.runs[0].after == 2

    run_scenario(scenario)


def test_a_request_for_another_instance_gets_421_with_the_instance_id():
    async def scenario(server):
        client = await server.open_client()
        status, headers, _ = await client.call(target_instance="i-2")
        assert status == 421 and headers["instance-id"] == "i-1" and "not-executed" in headers
        assert server.runs[0].ran_at is None
        assert (await client.call(target_instance="i-1"))[0] == 200

    run_scenario(scenario)


def test_a_request_for_another_version_of_the_weights_gets_421():
    async def scenario(server):
        client = await server.open_client()
        assert (await client.call(model_name="m", expect_version="2"))[0] == 421
        assert (await client.call(model_name="m", expect_version="1"))[0] == 200

    run_scenario(scenario)


def test_a_request_without_an_attempt_id_gets_400_and_does_not_run():
    async def scenario(server):
        client = await server.open_client()
        status, headers, _ = await client.call(attempt_id="")
        assert status == 400 and "not-executed" in headers and server.runs[0].ran_at is None

    run_scenario(scenario)


def test_a_full_engine_answers_503_with_not_executed():
    async def scenario(server):
        for _ in range(3):
            (await server.open_client()).send_request(**LONG_REQUEST)
        await wait_until(lambda: len(server.runs) == 3)
        status, headers, _ = await (await server.open_client()).call(token_usage="10,4")
        assert status == 503 and "not-executed" in headers and server.runs[-1].ran_at is None

    run_scenario(scenario)


def test_a_deadline_passed_in_the_queue_is_503_and_one_passed_while_running_is_504_or_a_broken_stream():
    async def scenario(server):
        for _ in range(2):
            (await server.open_client()).send_request(**LONG_REQUEST)
        await wait_until(lambda: len(server.runs) == 2)
        status, headers, _ = await (await server.open_client()).call(time_remaining="20")
        assert status == 503 and "not-executed" in headers
        server.clients[0].writer.transport.abort()
        await wait_until(lambda: server.runs[0].outcome == "left")
        client = await server.open_client()
        client.send_request(attempt_id="x", token_usage="10,4000", time_remaining="60")
        with pytest.raises(EOFError):
            await client.read_response()
        assert server.runs[-1].outcome == "late" and server.runs[-1].ran_at is not None
        server.upstream.work_s = 30.0
        status, headers, _ = await (await server.open_client()).call(attempt_id="y", time_remaining="30")
        assert status == 504 and "not-executed" not in headers and server.runs[-1].ran_at is not None

    run_scenario(scenario)


def test_work_stops_when_the_client_disconnects():
    async def scenario(server):
        client = await server.open_client()
        client.send_request(**LONG_REQUEST)
        await client.wait_for_body()
        client.writer.transport.abort()
        await wait_until(lambda: not server.engine.jobs)
        assert server.runs[0].outcome == "left" and server.engine.memory.used == 0

    run_scenario(scenario)


def test_a_connection_runs_one_request_at_a_time_and_responds_in_order():
    async def scenario(server):
        client = await server.open_client()
        for attempt_id in ("1", "2", "3"):
            client.send_request(attempt_id=attempt_id, path=f"/{attempt_id}")
        attempt_ids = [(await client.read_response())[1]["attempt-id"] for _ in range(3)]
        assert attempt_ids == ["1", "2", "3"]
        runs = server.runs
        assert runs[0].ran_at < runs[1].ran_at < runs[2].ran_at

    run_scenario(scenario)


def test_connections_beyond_the_limit_are_reset():
    async def scenario(server):
        for _ in range(2):
            await (await server.open_client()).call()
        third = await server.open_client()
        third.send_request()
        with pytest.raises((ConnectionError, EOFError)):
            await third.read_response()
        assert server.refused == 1

    run_scenario(scenario, max_connections=2)


def test_fewer_connections_are_accepted_while_the_queue_is_long():
    async def scenario(server):
        for _ in range(5):
            (await server.open_client()).send_request(**LONG_REQUEST)
        await wait_until(lambda: len(server.runs) == 5)
        assert server.connection_limit() == 5
        sixth = await server.open_client()
        with pytest.raises((ConnectionError, EOFError)):
            await sixth.read_response()

    run_scenario(scenario, replace(FAST_SETTINGS, queue=4), max_connections=10)


def test_a_health_check_names_the_instance_waits_for_a_slot_and_gets_503_while_draining():
    async def scenario(server):
        client = await server.open_client()
        status, headers, _ = await client.call(method="GET", path="/health", attempt_id="")
        assert status == 200 and headers["instance-id"] == "i-1" and "cold-remaining" not in headers
        for _ in range(2):
            (await server.open_client()).send_request(**LONG_REQUEST)
        await wait_until(lambda: len(server.runs) == 2)
        client.send_request(method="GET", path="/health", attempt_id="")
        await wait_until(lambda: server.engine.waiting)
        assert (await (await server.open_client()).call(method="GET", path="/health", attempt_id=""))[
            0
        ] == 503
        server.clients[1].writer.transport.abort()
        assert (await client.read_response())[0] == 200
        server.drain()
        assert (await client.call(method="GET", path="/health", attempt_id=""))[0] == 503

    run_scenario(scenario)


def test_a_health_check_reports_the_remaining_cold_time():
    async def scenario(server):
        client = await server.open_client()
        _, headers, _ = await client.call(method="GET", path="/health", attempt_id="")
        assert 0 < int(headers["cold-remaining"]) <= 60_000

    run_scenario(scenario, replace(FAST_SETTINGS, cold_s=60.0), cold=True)


def test_a_report_needs_no_slot_and_is_json():
    async def scenario(server):
        for _ in range(3):
            (await server.open_client()).send_request(**LONG_REQUEST)
        await wait_until(lambda: len(server.runs) == 3)
        status, headers, body = await (await server.open_client()).call(
            method="GET", path="/report", attempt_id=""
        )
        assert status == 200 and b'"kvTotal": 5000' in body and b'"stage": "dual"' in body

    run_scenario(scenario)


def test_a_draining_server_serves_on_and_closes_its_connections():
    async def scenario(server):
        client = await server.open_client()
        client.send_request(token_usage="10,400")
        await client.wait_for_body()
        server.drain()
        assert (await client.read_response())[0] == 200
        status, headers, _ = await client.call()
        assert status == 200 and headers["connection"] == "close"
        with pytest.raises(EOFError):
            await client.read_response()

    run_scenario(scenario)


def test_close_chance_closes_connections_of_a_server_that_does_not_drain():
    async def scenario(server):
        _, headers, _ = await (await server.open_client()).call()
        assert headers["connection"] == "close"

    run_scenario(scenario, close_chance=1.0)


def test_idle_connections_are_closed_after_the_keep_alive_timeout():
    async def scenario(server):
        client = await server.open_client()
        _, headers, _ = await client.call()
        assert headers["keep-alive"] == "timeout=1"
        with pytest.raises(EOFError):
            await client.read_response()

    run_scenario(scenario, keep_alive_s=1)


def test_a_cold_server_that_is_overloaded_crashes_and_resets_all_connections():
    async def scenario(server):
        client = await server.open_client()
        client.send_request(**LONG_REQUEST)
        await wait_until(lambda: server.runs)
        for _ in range(4):
            (await server.open_client()).send_request(path="/b")
        await wait_until(lambda: "crashed" in server.runs)
        with pytest.raises((ConnectionError, EOFError)):
            while True:
                await client.read_response()
        assert server.runs[0].outcome == "cut"

    run_scenario(
        scenario, replace(FAST_SETTINGS, slots=9, cold_s=9.0, cold_rate=2.0, cold_fall=2.0), cold=True
    )


@pytest.mark.parametrize("fault", ["cut", "noise", "more", "surplus", "error", "busy"])
def test_injected_faults(fault):
    async def scenario(server):
        client = await server.open_client()
        if fault == "cut":
            client.send_request(token_usage="10,400")
            with pytest.raises(EOFError):
                await client.read_response()
            assert server.runs[0].outcome == "cut" and server.runs[0].sent == [1, 2]
            return
        client.send_request()
        if fault == "noise":
            assert (await asyncio.wait_for(client.reader.read(), 5)).startswith(b"\0")
            return
        if fault == "more":
            with pytest.raises(httptools.HttpParserError):
                await client.read_response()
                await client.read_response()
            assert client.response_parser.responses or server.runs[0].outcome == "done"
            return
        status, headers, body = await client.read_response()
        assert status == {"error": 500, "busy": 429}.get(fault, 200)
        assert (server.runs[0].ran_at is None) == (fault == "busy") == ("not-executed" in headers)
        if fault == "surplus":
            assert (await client.read_response())[1]["attempt-id"] == headers["attempt-id"]

    run_scenario(scenario, troubles={fault: 1.0})


def test_an_unresponsive_server_sends_nothing_and_keeps_its_connections():
    async def scenario(server):
        client = await server.open_client()
        await client.call()
        server.stop_responding()
        client.send_request()
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(client.read_response(), 0.05)
        assert not client.reader.at_eof()

    run_scenario(scenario)


def test_a_second_server_at_the_same_address_is_another_instance():
    async def scenario(server):
        server.close()
        loop = asyncio.get_running_loop()
        second_server = EngineServer(
            loop,
            replace(server.upstream, instance="i-2"),
            Engine(FAST_SETTINGS, loop.time()),
            Random(2),
            server.runs.append,
        )
        await second_server.start()
        client = await Client().open(second_server)
        assert (await client.call(target_instance="i-1"))[0] == 421
        assert (await client.call(target_instance="i-2"))[0] == 200
        client.writer.transport.abort()
        second_server.close()

    run_scenario(scenario)
