"""A disk in memory that keeps what was written apart from what was synced, and can stop at any write."""

import itertools


class MemoryDisk:
    """Stands for `Files`. `ops` is the stream of changes; `left_after` gives what a crash there may leave."""

    def __init__(self, start=None):
        self.start = dict(start or {})
        self.data = {name: bytearray(data) for name, data in self.start.items()}
        self.ops = []
        self.fail = None  # an OSError for every change from now on

    def create_folder(self):
        pass

    def distrust_reason(self):
        return ""

    def lock(self):
        pass

    def release(self):
        pass

    def close(self, name):
        pass

    def list_names(self):
        return sorted(self.data)

    def read(self, name):
        return bytes(self.data[name])

    def change(self, *op):
        if self.fail is not None:
            raise self.fail
        self.ops.append(op)

    def append(self, name, data):
        self.change("append", name, bytes(data))
        self.data.setdefault(name, bytearray()).extend(data)

    def sync(self, name):
        self.change("sync", name)

    def sync_folder(self):
        self.change("sync_folder")

    def rename(self, old, new):
        self.change("rename", old, new)
        self.data[new] = self.data.pop(old)

    def remove(self, name):
        self.change("remove", name)
        self.data.pop(name, None)

    # --- what a crash leaves

    def killed(self, upto, partial):
        """The process was killed after `upto` operations and `partial` bytes of the next: the kernel has
        the rest."""
        state = {name: bytearray(data) for name, data in self.start.items()}
        for op in self.ops[:upto]:
            apply(state, op)
        if partial is not None and upto < len(self.ops) and self.ops[upto][0] == "append":
            _, name, data = self.ops[upto]
            state.setdefault(name, bytearray()).extend(data[:partial])
        return {name: bytes(data) for name, data in state.items()}

    def powered_off(self, upto):
        """Yields what may lie there after a power cut behind `upto` operations, writes not synced lost in
        any way.

        A file's data is durable up to its last sync; behind it any shorter part may be there, or zeros in its
        place. Names (creation, rename, removal) are durable at the next sync of the folder; those since then
        happened up to any point, in their order.
        """
        done = self.ops[:upto]
        last = max((place for place, op in enumerate(done) if op[0] == "sync_folder"), default=-1)
        names = [place for place, op in enumerate(done) if place > last and op[0] in ("rename", "remove")]
        for kept in range(len(names) + 1):
            state, synced = (
                {name: bytearray(data) for name, data in self.start.items()},
                {name: len(data) for name, data in self.start.items()},
            )
            skipped = set(names[kept:])
            lost = {}  # files whose creation was not made durable go by the name they would have had
            for place, op in enumerate(done):
                if place in skipped:
                    if op[0] == "rename":
                        lost[op[2]] = op[1]
                    continue
                op = (op[0], *(lost.get(part, part) if isinstance(part, str) else part for part in op[1:]))
                apply(state, op)
                if op[0] == "sync":
                    synced[op[1]] = len(state[op[1]])
                elif op[0] == "rename":
                    synced[op[2]] = synced.pop(op[1], 0)
            loose = [name for name in state if len(state[name]) > synced.get(name, 0)]
            for ways in itertools.product(("all", "none", "half", "zeros"), repeat=len(loose)):
                found = {name: bytes(data) for name, data in state.items()}
                for name, way in zip(loose, ways, strict=True):
                    sure, whole = synced.get(name, 0), found[name]
                    rest = whole[sure:]
                    found[name] = (
                        whole[:sure]
                        + {
                            "all": rest,
                            "none": b"",
                            "half": rest[: len(rest) // 2],
                            "zeros": bytes(len(rest)),
                        }[way]
                    )
                yield found


def apply(state, op):
    if op[0] == "append":
        state.setdefault(op[1], bytearray()).extend(op[2])
    elif op[0] == "rename":
        if op[1] in state:
            state[op[2]] = state.pop(op[1])
    elif op[0] == "remove":
        state.pop(op[1], None)
