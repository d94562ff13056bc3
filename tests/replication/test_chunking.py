"""Big messages in chunks: losses, doubles, a receiver that starts anew, and the order of writes."""

from collections import deque
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from shedgrade.replication import Timing, messages
from shedgrade.replication.chunking import (
    CHUNK_BYTES,
    MAX_WINDOW,
    MIN_WINDOW,
    TRANSFER_TIMEOUT_S,
    ChunkedTransfers,
)


class End:
    """One end of a connection: what a member gives to its chunks."""

    def __init__(self, seed):
        self.random, self.timing, self.out = Random(seed), Timing(), deque()
        self.chunking = ChunkedTransfers(self)

    def emit(self, to, message):
        self.out.append(message)


def write(sequence, length):
    return messages.Replicate(1, sequence, (0, 0), {"configuration": bytes([sequence % 256]) * length})


def carry(sender, receiver, keep, seconds=60.0, twice=lambda: False):
    """Let the two talk; `keep()` says whether the next message arrives. Returns what arrived whole."""
    now, whole = 0.0, []
    while now < seconds and (sender.out or receiver.out or sender.chunking.queues):
        for _ in range(len(sender.out)):
            chunk = sender.out.popleft()
            for _ in range(2 if twice() else 1):
                if keep():
                    message = receiver.chunking.on_chunk(now, "s:1", chunk)
                    whole += [message] if message is not None else []
        for _ in range(len(receiver.out)):
            ack = receiver.out.popleft()
            if keep():
                sender.chunking.on_chunk_ack(now, "r:1", ack)
        now += 0.05
        sender.chunking.tick(now)
    return whole


def test_a_big_message_arrives_whole_and_no_more_than_a_window_is_under_way():
    sender, receiver, message = End(1), End(2), write(1, 10 * CHUNK_BYTES)
    sender.chunking.send(0.0, "r:1", message)
    assert len(sender.out) == MIN_WINDOW
    assert carry(sender, receiver, lambda: True) == [message]
    assert not sender.chunking.queues


def test_one_that_is_under_way_is_not_sent_a_second_time():
    sender = End(1)
    sender.chunking.send(0.0, "r:1", write(1, 10 * CHUNK_BYTES))
    sender.chunking.send(0.0, "r:1", write(1, 10 * CHUNK_BYTES))
    assert len(sender.chunking.queues["r:1"]) == 1


def test_a_small_write_waits_behind_a_big_one_and_short_messages_do_not():
    sender, receiver = End(1), End(2)
    sender.chunking.send(0.0, "r:1", write(1, 10 * CHUNK_BYTES))
    assert sender.chunking.needs_chunking("r:1", write(2, 10))
    assert not sender.chunking.needs_chunking("r:1", messages.Heartbeat(1, 1, (0, 0), None))
    assert not sender.chunking.needs_chunking("other:1", write(2, 10))
    sender.chunking.send(0.0, "r:1", write(2, 10))
    assert [message.sequence for message in carry(sender, receiver, lambda: True)] == [1, 2]


def test_a_receiver_that_starts_anew_gets_it_from_the_first_chunk():
    sender, receiver, message = End(1), End(2), write(1, 10 * CHUNK_BYTES)
    sender.chunking.send(0.0, "r:1", message)
    for _ in range(MIN_WINDOW):
        receiver.chunking.on_chunk(0.0, "s:1", sender.out.popleft())
    while receiver.out:
        sender.chunking.on_chunk_ack(0.0, "r:1", receiver.out.popleft())
    assert carry(sender, End(3), lambda: True) == [message]


def test_a_transfer_to_who_never_answers_is_given_up():
    sender = End(1)
    sender.chunking.send(0.0, "r:1", write(1, 10 * CHUNK_BYTES))
    now = 0.0
    while now <= TRANSFER_TIMEOUT_S:
        now += 0.1
        sender.chunking.tick(now)
    assert not sender.chunking.queues and len(sender.out) < 3 * MIN_WINDOW


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**32), st.lists(st.integers(CHUNK_BYTES + 1, 6 * CHUNK_BYTES), min_size=1, max_size=4))
def test_with_losses_and_duplicates_each_arrives_once_and_in_order(seed, lengths):
    chance = Random(seed)
    sender, receiver = End(seed), End(seed + 1)
    sent = [write(sequence, length) for sequence, length in enumerate(lengths, 1)]
    for message in sent:
        sender.chunking.send(0.0, "r:1", message)
    got = carry(sender, receiver, lambda: chance.random() > 0.15, twice=lambda: chance.random() < 0.1)
    assert got == [message for message in sent if message in got]
    assert got == sent or not sender.chunking.queues


def over_a_link(piece_seconds, delay, count=60):
    """(seconds, most chunks under way, chunks sent) of one message; a chunk takes the link so long."""
    sender, receiver = End(1), End(2)
    sender.chunking.send(0.0, "r:1", write(1, count * CHUNK_BYTES - 1000))
    now, free, arrivals, acks, most, sent = 0.0, 0.0, deque(), deque(), 0, 0
    while sender.chunking.queues and now < 60.0:
        while sender.out:
            free = max(free, now) + piece_seconds
            arrivals.append((free + delay, sender.out.popleft()))
            sent += 1
        most = max(most, len(arrivals))
        now = min(queue[0][0] for queue in (arrivals, acks) if queue)
        while arrivals and arrivals[0][0] <= now:
            receiver.chunking.on_chunk(now, "s:1", arrivals.popleft()[1])
        acks.extend((now + delay, ack) for ack in receiver.out)
        receiver.out.clear()
        while acks and acks[0][0] <= now:
            sender.chunking.on_chunk_ack(now, "r:1", acks.popleft()[1])
    return now, most, sent


def test_the_window_grows_on_a_long_and_wide_link_and_not_on_a_narrow_one():
    wide, most, sent = over_a_link(0.0003, 0.055)
    assert wide < 0.8 and MIN_WINDOW < most <= MAX_WINDOW + 1 and sent <= 62
    thin, most, sent = over_a_link(0.052, 0.035)
    assert most <= MIN_WINDOW + 2 and thin < 60 * 0.056 + 0.2 and sent <= 62


def test_a_late_ack_sends_nothing_again_and_a_chunk_that_is_sent_twice_measures_nothing():
    sender = End(1)
    sender.chunking.send(0.0, "r:1", write(1, 60 * CHUNK_BYTES))
    out = sender.chunking.queues["r:1"][0]
    for acknowledged in (1, 3, 2):
        sender.chunking.on_chunk_ack(0.1, "r:1", messages.ChunkAck(out.id, acknowledged))
    assert out.next == 3 and [chunk.index for chunk in sender.out] == sorted({p.index for p in sender.out})
    sender.chunking.tick(1.0)  # a probe: chunk 3 goes a second time
    sender.chunking.on_chunk_ack(1.001, "r:1", messages.ChunkAck(out.id, 4))
    assert sender.chunking.round_trips["r:1"] == 0.1 and out.window == MIN_WINDOW
