"""What a capture holds, without I/O: rows of calls, batched into records; a ring of encoded records.

A record is one of
    {"k": "begin", settings, seed, now, ...}    the decisions were made anew
    {"k": "state", "now", "state", "names"}     a checkpoint: a replay may begin here
    {"k": "rows", "now", "r": [...]}            calls in order; times are differences from the one before
    {"k": "names", "names": {index: id}}        upstreams' ids, as they come to be known
    {"k": "gap", "now", "rows", "why"}          calls that were not kept; a checkpoint follows
    {"k": "fault", "now", "what"}               a fault of the program's own was logged here

A row is [op, since, ...]: ops and what they carry are in OPS. Results stand at the end of a row, so that a
replay
compares what comes out with what came out.
"""

from collections import deque
from collections.abc import Iterator

from shedgrade import file_frames

# op: (call, what it carries after the time since the row before)
(
    TAKE,
    DECIDE,
    NOTHING,
    ENDED,
    GONE,
    STARTED,
    LIST,
    FAILED,
    DOUBT,
    RESTORE,
    YIELD,
    OVER,
    SPAN,
    LUCK,
    WANTS,
    RELEASED,
    ORDERED,
    DIVIDED,
    RETUNED,
    COMING,
) = range(20)
OPS = {
    TAKE: ("take", "rpc method give_up_at retry name tenant"),
    DECIDE: ("decide", "rpc what value"),
    NOTHING: ("decide", "rpc"),
    ENDED: ("ended", "rpc tx outcome took settled fresh stops"),
    GONE: ("gone", "rpc stops"),
    STARTED: ("started", "rpc lasting"),
    LIST: ("list_changed", "rows whole asked"),
    FAILED: ("list_failed", ""),
    DOUBT: ("doubted", "upstreams ends last"),
    RESTORE: ("restore", "state age"),
    YIELD: ("due yields", "rpc"),
    OVER: ("due is over", ""),
    SPAN: ("span", "low high drawn"),
    LUCK: ("luck", "method drawn"),
    WANTS: ("wants_list", "answer"),
    RELEASED: ("released", "upstreams"),
    ORDERED: ("ordered", "upstream out"),
    DIVIDED: ("divided", "part"),
    RETUNED: ("retuned", "settings"),
    COMING: ("coming", "rpc give_up_at here whole limit"),
}
KIND = b"C"  # of the file's header
BATCH = 512  # rows in a record: some 6 KB, a tenth of a second at 1,000 RPCs a second


class Ring:
    """Encoded records within a number of bytes. What goes first goes up to the next checkpoint, so that the
    oldest record kept is always one that a replay may begin at."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.size = 0
        self.dropped = 0
        self.records: deque[tuple[bool, bytes]] = deque()
        self.starts = 0

    def add(self, record: dict) -> bytes:
        """Encodes and keeps a record, dropping the oldest ones over the limit; returns its bytes."""
        data = file_frames.frame(record)
        start = record["k"] in ("begin", "state")
        self.records.append((start, data))
        self.starts += start
        self.size += len(data)
        while self.size > self.most and self.starts > 1:
            self.drop()
        return data

    def drop(self) -> None:
        """The oldest checkpoint and all up to the next."""
        first = True
        while first or not self.records[0][0]:
            start, data = self.records.popleft()
            self.starts -= start
            self.size -= len(data)
            self.dropped += 1
            first = False

    def data(self, number: int = 0) -> bytes:
        """All that is kept, as the bytes of a file."""
        return file_frames.header(KIND, number) + b"".join(data for _, data in self.records)


def calls(records: list[dict]) -> Iterator[tuple[int, list]]:
    """(now, row) of each call of a list of records, begins and checkpoints as (now, [record])."""
    now = 0
    for record in records:
        if record["k"] == "rows":
            now = record["now"]
            for row in record["r"]:
                now += row[1]
                yield now, row
        else:
            now = record.get("now", now)
            yield now, [record]
