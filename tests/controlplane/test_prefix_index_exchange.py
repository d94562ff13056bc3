"""One core member's part in the prefix index: asked for after a cut, silent until it is valid."""

from types import SimpleNamespace
from zlib import crc32

from shedgrade.control_messages import EdgeStatus, WatchRequest, decode
from shedgrade.controlplane.prefix_index_exchange import NO_ANSWER_TIMEOUT_S, PrefixIndexExchange
from shedgrade.controlplane.watch_hub import WatchHub
from shedgrade.prefix_cache_index import PrefixIndexAdditions, PrefixIndexRequest, PrefixIndexUpdate

EDGE = EdgeStatus("edge-1", "10.1.0.12:8263", "north-a", "north", 1, "ready")


def member(source, founding=True):
    told = []
    hub = WatchHub(0.0)
    return PrefixIndexExchange(hub, source, founding, told.append), told


def asked(exchange, now, reads=(), version=(0, -1)):
    told = []
    exchange.hub.watch(
        now,
        WatchRequest(EDGE, (0, 0), (0, 0), 0.0, prefix_reads=reads, prefix_index_version=version),
        told.append,
    )
    return told[0].prefix_index


def test_what_edges_read_is_told_to_the_others_once():
    exchange, told = member(1)
    asked(exchange, 1.0, reads=((5, 11),))
    exchange.tick(1.0, 1.0)
    exchange.tick(1.1, 1.1)
    assert told == [PrefixIndexAdditions(((5, 11),))]
    other, _ = member(2)
    other.receive(1.2, told[0], None)
    assert asked(other, 1.3).pairs == ((5, 11),)


def test_a_member_that_rejoins_says_nothing_before_another_told_it_all():
    exchange, told = member(1)
    asked(exchange, 1.0, reads=((5, 11),))
    exchange.tick(9.0, 1.0)
    assert asked(exchange, 9.0) is None
    exchange.tick(10.0, 10.0)
    assert PrefixIndexRequest() in told and asked(exchange, 10.0) is None
    other, _ = member(2)
    other.receive(9.5, PrefixIndexAdditions(((6, 12),)), None)
    answers = []
    other.receive(10.1, PrefixIndexRequest(), answers.append)
    exchange.receive(10.2, decode(answers[0]), None)
    assert asked(exchange, 10.3).pairs == ((6, 12),)


def test_one_that_is_not_true_itself_answers_nobody():
    exchange, _ = member(1, founding=False)
    answers = []
    exchange.receive(1.0, PrefixIndexRequest(), answers.append)
    assert not answers


def test_all_that_started_anew_begin_with_nothing():
    exchange, _ = member(1, founding=False)
    exchange.tick(1.0, 1.0)
    assert asked(exchange, 1.0) is None
    exchange.tick(1.1 + NO_ANSWER_TIMEOUT_S, 1.1 + NO_ANSWER_TIMEOUT_S)
    assert asked(exchange, 4.2) == PrefixIndexUpdate(2, 0, -1)


def test_an_incarnation_that_left_the_list_holds_nothing():
    exchange, _ = member(1)
    asked(exchange, 1.0, reads=((5, crc32(b"i-1")), (5, crc32(b"i-2"))))
    exchange.retain_endpoints(SimpleNamespace(endpoints={"i-2": None}))
    moved = asked(exchange, 1.1)
    assert moved.pairs == ((5, crc32(b"i-2")),)
