"""The prefix index of a core member: it is requested after a partition, and not sent until it is valid."""

from types import SimpleNamespace
from zlib import crc32

from shedgrade.control_messages import EdgeStatus, WatchRequest, decode
from shedgrade.controlplane.prefix_index_exchange import NO_ANSWER_TIMEOUT_S, PrefixIndexExchange
from shedgrade.controlplane.watch_hub import WatchHub
from shedgrade.prefix_cache_index import PrefixIndexAdditions, PrefixIndexRequest, PrefixIndexUpdate

EDGE = EdgeStatus("edge-1", "10.1.0.12:8263", "north-a", "north", 1, "ready")


def make_exchange(source, is_founding=True):
    sent = []
    hub = WatchHub(0.0)
    return PrefixIndexExchange(hub, source, is_founding, sent.append), sent


def watch(exchange, now, observed_prefixes=(), version=(0, -1)):
    sent = []
    exchange.hub.watch(
        now,
        WatchRequest(
            EDGE, (0, 0), (0, 0), 0.0, observed_prefixes=observed_prefixes, prefix_index_version=version
        ),
        sent.append,
    )
    return sent[0].prefix_index


def test_additions_of_edges_are_sent_to_the_others_once():
    exchange, sent = make_exchange(1)
    watch(exchange, 1.0, observed_prefixes=((5, 11),))
    exchange.tick(1.0, 1.0)
    exchange.tick(1.1, 1.1)
    assert sent == [PrefixIndexAdditions(((5, 11),))]
    other, _ = make_exchange(2)
    other.receive(1.2, sent[0], None)
    assert watch(other, 1.3).pairs == ((5, 11),)


def test_a_member_that_rejoins_sends_nothing_before_it_has_another_members_index():
    exchange, sent = make_exchange(1)
    watch(exchange, 1.0, observed_prefixes=((5, 11),))
    exchange.tick(9.0, 1.0)
    assert watch(exchange, 9.0) is None
    exchange.tick(10.0, 10.0)
    assert PrefixIndexRequest() in sent and watch(exchange, 10.0) is None
    other, _ = make_exchange(2)
    other.receive(9.5, PrefixIndexAdditions(((6, 12),)), None)
    responses = []
    other.receive(10.1, PrefixIndexRequest(), responses.append)
    exchange.receive(10.2, decode(responses[0]), None)
    assert watch(exchange, 10.3).pairs == ((6, 12),)


def test_a_member_without_a_valid_index_answers_no_request():
    exchange, _ = make_exchange(1, is_founding=False)
    responses = []
    exchange.receive(1.0, PrefixIndexRequest(), responses.append)
    assert not responses


def test_members_that_all_restarted_begin_with_an_empty_index():
    exchange, _ = make_exchange(1, is_founding=False)
    exchange.tick(1.0, 1.0)
    assert watch(exchange, 1.0) is None
    exchange.tick(1.1 + NO_ANSWER_TIMEOUT_S, 1.1 + NO_ANSWER_TIMEOUT_S)
    assert watch(exchange, 4.2) == PrefixIndexUpdate(2, 0, -1)


def test_an_incarnation_that_left_the_list_is_removed():
    exchange, _ = make_exchange(1)
    watch(exchange, 1.0, observed_prefixes=((5, crc32(b"i-1")), (5, crc32(b"i-2"))))
    exchange.retain_endpoints(SimpleNamespace(endpoints={"i-2": None}))
    update = watch(exchange, 1.1)
    assert update.pairs == ((5, crc32(b"i-2")),)
