"""Long messages in chunks: losses, duplicates, a receiver that restarts, and the order of writes."""

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


class Endpoint:
    """One end of a connection: what a member provides for chunked transfers."""

    def __init__(self, seed):
        self.random, self.timing, self.out = Random(seed), Timing(), deque()
        self.chunking = ChunkedTransfers(self)

    def emit(self, to, message):
        self.out.append(message)


def write(sequence, length):
    return messages.Replicate(1, sequence, (0, 0), {"configuration": bytes([sequence % 256]) * length})


def exchange(sender, receiver, delivers, seconds=60.0, duplicates=lambda: False):
    """Passes messages between the two ends until the sender's queue is empty or `seconds` have passed.

    `delivers()`: whether the next message arrives. `duplicates()`: whether the next chunk is duplicated.
    Returns the messages that arrived completely.
    """
    now, complete = 0.0, []
    while now < seconds and (sender.out or receiver.out or sender.chunking.queues):
        for _ in range(len(sender.out)):
            chunk = sender.out.popleft()
            for _ in range(2 if duplicates() else 1):
                if delivers():
                    message = receiver.chunking.on_chunk(now, "s:1", chunk)
                    complete += [message] if message is not None else []
        for _ in range(len(receiver.out)):
            ack = receiver.out.popleft()
            if delivers():
                sender.chunking.on_chunk_ack(now, "r:1", ack)
        now += 0.05
        sender.chunking.tick(now)
    return complete


def test_a_long_message_arrives_and_no_more_than_a_window_is_in_transit():
    sender, receiver, message = Endpoint(1), Endpoint(2), write(1, 10 * CHUNK_BYTES)
    sender.chunking.send(0.0, "r:1", message)
    assert len(sender.out) == MIN_WINDOW
    assert exchange(sender, receiver, lambda: True) == [message]
    assert not sender.chunking.queues


def test_a_message_in_transit_is_not_queued_again():
    sender = Endpoint(1)
    sender.chunking.send(0.0, "r:1", write(1, 10 * CHUNK_BYTES))
    sender.chunking.send(0.0, "r:1", write(1, 10 * CHUNK_BYTES))
    assert len(sender.chunking.queues["r:1"]) == 1


def test_a_short_write_waits_behind_a_long_one_and_other_short_messages_do_not():
    sender, receiver = Endpoint(1), Endpoint(2)
    sender.chunking.send(0.0, "r:1", write(1, 10 * CHUNK_BYTES))
    assert sender.chunking.needs_chunking("r:1", write(2, 10))
    assert not sender.chunking.needs_chunking("r:1", messages.Heartbeat(1, 1, (0, 0), None))
    assert not sender.chunking.needs_chunking("other:1", write(2, 10))
    sender.chunking.send(0.0, "r:1", write(2, 10))
    assert [message.sequence for message in exchange(sender, receiver, lambda: True)] == [1, 2]


def test_a_receiver_that_restarts_is_sent_the_message_from_the_first_chunk():
    sender, receiver, message = Endpoint(1), Endpoint(2), write(1, 10 * CHUNK_BYTES)
    sender.chunking.send(0.0, "r:1", message)
    for _ in range(MIN_WINDOW):
        receiver.chunking.on_chunk(0.0, "s:1", sender.out.popleft())
    while receiver.out:
        sender.chunking.on_chunk_ack(0.0, "r:1", receiver.out.popleft())
    assert exchange(sender, Endpoint(3), lambda: True) == [message]


def test_a_transfer_that_is_never_acknowledged_is_abandoned():
    sender = Endpoint(1)
    sender.chunking.send(0.0, "r:1", write(1, 10 * CHUNK_BYTES))
    now = 0.0
    while now <= TRANSFER_TIMEOUT_S:
        now += 0.1
        sender.chunking.tick(now)
    assert not sender.chunking.queues and len(sender.out) < 3 * MIN_WINDOW


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**32), st.lists(st.integers(CHUNK_BYTES + 1, 6 * CHUNK_BYTES), min_size=1, max_size=4))
def test_with_losses_and_duplicates_each_message_arrives_once_and_in_order(seed, lengths):
    random = Random(seed)
    sender, receiver = Endpoint(seed), Endpoint(seed + 1)
    sent = [write(sequence, length) for sequence, length in enumerate(lengths, 1)]
    for message in sent:
        sender.chunking.send(0.0, "r:1", message)
    received = exchange(
        sender, receiver, lambda: random.random() > 0.15, duplicates=lambda: random.random() < 0.1
    )
    assert received == [message for message in sent if message in received]
    assert received == sent or not sender.chunking.queues


def transfer_over_link(chunk_seconds, delay, count=60):
    """Sends one message of `count` chunks over a link. `chunk_seconds`: transmission time of a chunk.

    Returns the seconds that it took, the maximum number of chunks in transit, and the number of chunks sent.
    """
    sender, receiver = Endpoint(1), Endpoint(2)
    sender.chunking.send(0.0, "r:1", write(1, count * CHUNK_BYTES - 1000))
    now, link_free_at, arrivals, acks, max_in_transit, sent = 0.0, 0.0, deque(), deque(), 0, 0
    while sender.chunking.queues and now < 60.0:
        while sender.out:
            link_free_at = max(link_free_at, now) + chunk_seconds
            arrivals.append((link_free_at + delay, sender.out.popleft()))
            sent += 1
        max_in_transit = max(max_in_transit, len(arrivals))
        now = min(queue[0][0] for queue in (arrivals, acks) if queue)
        while arrivals and arrivals[0][0] <= now:
            receiver.chunking.on_chunk(now, "s:1", arrivals.popleft()[1])
        acks.extend((now + delay, ack) for ack in receiver.out)
        receiver.out.clear()
        while acks and acks[0][0] <= now:
            sender.chunking.on_chunk_ack(now, "r:1", acks.popleft()[1])
    return now, max_in_transit, sent


def test_the_window_grows_on_a_long_and_wide_link_and_not_on_a_narrow_one():
    wide_seconds, max_in_transit, sent = transfer_over_link(0.0003, 0.055)
    assert wide_seconds < 0.8 and MIN_WINDOW < max_in_transit <= MAX_WINDOW + 1 and sent <= 62
    narrow_seconds, max_in_transit, sent = transfer_over_link(0.052, 0.035)
    assert max_in_transit <= MIN_WINDOW + 2 and narrow_seconds < 60 * 0.056 + 0.2 and sent <= 62


def test_a_late_ack_resends_nothing_and_a_chunk_that_is_sent_twice_is_not_measured():
    sender = Endpoint(1)
    sender.chunking.send(0.0, "r:1", write(1, 60 * CHUNK_BYTES))
    outgoing = sender.chunking.queues["r:1"][0]
    for acknowledged in (1, 3, 2):
        sender.chunking.on_chunk_ack(0.1, "r:1", messages.ChunkAck(outgoing.id, acknowledged))
    assert outgoing.next == 3 and [chunk.index for chunk in sender.out] == sorted(
        {chunk.index for chunk in sender.out}
    )
    sender.chunking.tick(1.0)  # a probe: chunk 3 is sent a second time
    sender.chunking.on_chunk_ack(1.001, "r:1", messages.ChunkAck(outgoing.id, 4))
    assert sender.chunking.round_trips["r:1"] == 0.1 and outgoing.window == MIN_WINDOW
