"""Content of a capture, without I/O: rows of calls, batched into records, and a ring of encoded records.

A record is one of
    {"k": "begin", settings, seed, now, ...}    a balancer was created
    {"k": "state", "now", "state", "names"}     a checkpoint; a replay may begin here
    {"k": "rows", "now", "r": [...]}            calls in order, each with the time since the one before
    {"k": "names", "names": {index: id}}        ids of upstreams, as the endpoint list brings them
    {"k": "gap", "now", "rows", "why"}          calls that were not recorded; a checkpoint follows
    {"k": "fault", "now", "what"}               an internal error was logged at this time

A row is [op, since, ...]; OPERATIONS lists the operations and their values. Results stand at the end of a
row: a replay compares them with its own.
"""

from collections import deque
from collections.abc import Iterator

from shedgrade import file_frames

# Operations of rows. Captures store their numbers, so the order stays.
(
    ADMIT,
    DECIDE,
    NO_DECISION,
    ATTEMPT_FINISHED,
    CLIENT_DISCONNECTED,
    RESPONSE_STARTED,
    LIST_CHANGED,
    LIST_FAILED,
    MARK_UNVERIFIED,
    RESTORE,
    DUE,
    DUE_ENDED,
    UNIFORM,
    DRAW_ADMISSION,
    WANTS_LIST,
    TAKE_RELEASED,
    SET_WITHDRAWN,
    SET_SLOW_START_SHARE,
    UPDATE_SETTINGS,
    BODY_RECEIVED,
) = range(20)
# Operation -> (name of its call, names of the values in its row, which follow the time since the row before).
OPERATIONS = {
    ADMIT: ("take", "rpc method give_up_at retry name tenant"),
    DECIDE: ("decide", "rpc what value"),
    NO_DECISION: ("decide", "rpc"),
    ATTEMPT_FINISHED: ("ended", "rpc tx outcome took settled fresh stops"),
    CLIENT_DISCONNECTED: ("gone", "rpc stops"),
    RESPONSE_STARTED: ("started", "rpc lasting"),
    LIST_CHANGED: ("list_changed", "rows whole asked"),
    LIST_FAILED: ("list_failed", ""),
    MARK_UNVERIFIED: ("doubted", "upstreams ends last"),
    RESTORE: ("restore", "state age"),
    DUE: ("due yields", "rpc"),
    DUE_ENDED: ("due is over", ""),
    UNIFORM: ("span", "low high drawn"),
    DRAW_ADMISSION: ("luck", "method drawn"),
    WANTS_LIST: ("wants_list", "answer"),
    TAKE_RELEASED: ("released", "upstreams"),
    SET_WITHDRAWN: ("ordered", "upstream out"),
    SET_SLOW_START_SHARE: ("divided", "part"),
    UPDATE_SETTINGS: ("retuned", "settings"),
    BODY_RECEIVED: ("coming", "rpc give_up_at here whole limit"),
}
KIND = b"C"  # kind of file, in its header
ROWS_PER_RECORD = 512  # about 6 KB, or 0.1 s at 1,000 requests a second


class Ring:
    """Buffer of encoded records with a limit of bytes.

    The oldest records are dropped up to the next checkpoint, so that a replay may begin with the first one
    kept. The last checkpoint stays, even above the limit.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.size = 0
        self.dropped = 0
        self.records: deque[tuple[bool, bytes]] = deque()
        self.start_count = 0

    def add(self, record: dict) -> bytes:
        """Adds a record, drops the oldest ones above the limit, and returns the encoded record."""
        data = file_frames.encode_record(record)
        start = record["k"] in ("begin", "state")
        self.records.append((start, data))
        self.start_count += start
        self.size += len(data)
        while self.size > self.max_bytes and self.start_count > 1:
            self.drop_oldest()
        return data

    def drop_oldest(self) -> None:
        """Drops the oldest checkpoint and the records up to the next one."""
        first = True
        while first or not self.records[0][0]:
            start, data = self.records.popleft()
            self.start_count -= start
            self.size -= len(data)
            self.dropped += 1
            first = False

    def data(self, number: int = 0) -> bytes:
        """Returns all records kept, as the content of a file."""
        return file_frames.encode_header(KIND, number) + b"".join(data for _, data in self.records)


def calls(records: list[dict]) -> Iterator[tuple[int, list]]:
    """Yields (now, row) of each call, and (now, [record]) of each record that is no batch of calls."""
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
