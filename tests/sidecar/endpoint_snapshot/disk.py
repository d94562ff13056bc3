"""A disk in memory that records every change, to compute what a crash after any of them may leave."""

import itertools


class MemoryDisk:
    """Replaces `Files`.

    Attributes:
        operations: all changes in order, from which `files_after_kill` and `files_after_power_cut` compute
        what
            a crash may leave.
        fail: an OSError that every further change raises; None if the disk works.
    """

    def __init__(self, start=None):
        self.start = dict(start or {})
        self.data = {name: bytearray(data) for name, data in self.start.items()}
        self.operations = []
        self.fail = None

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

    def change(self, *operation):
        if self.fail is not None:
            raise self.fail
        self.operations.append(operation)

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

    def files_after_kill(self, operation_count, partial):
        """The files after the process was killed behind `operation_count` operations and `partial` bytes of
        the next one. What was written survives in the kernel."""
        state = {name: bytearray(data) for name, data in self.start.items()}
        for operation in self.operations[:operation_count]:
            apply(state, operation)
        if (
            partial is not None
            and operation_count < len(self.operations)
            and self.operations[operation_count][0] == "append"
        ):
            _, name, data = self.operations[operation_count]
            state.setdefault(name, bytearray()).extend(data[:partial])
        return {name: bytes(data) for name, data in state.items()}

    def files_after_power_cut(self, operation_count):
        """Yields the files that a power cut after `operation_count` operations may leave, for each way to
        lose unsynced writes.

        A file's data is durable up to its last sync; after it, any shorter part may remain, or zeros in its
        place. Renames and removals are durable from the next sync of the folder on; of those since the last
        sync, any number from the first on may have reached the disk.
        """
        done = self.operations[:operation_count]
        last = max(
            (place for place, operation in enumerate(done) if operation[0] == "sync_folder"), default=-1
        )
        names = [
            place
            for place, operation in enumerate(done)
            if place > last and operation[0] in ("rename", "remove")
        ]
        for kept in range(len(names) + 1):
            state, synced = (
                {name: bytearray(data) for name, data in self.start.items()},
                {name: len(data) for name, data in self.start.items()},
            )
            skipped = set(names[kept:])
            unrenamed = {}  # files whose rename was lost, by new name: later operations apply to the old one
            for place, operation in enumerate(done):
                if place in skipped:
                    if operation[0] == "rename":
                        unrenamed[operation[2]] = operation[1]
                    continue
                operation = (
                    operation[0],
                    *(unrenamed.get(part, part) if isinstance(part, str) else part for part in operation[1:]),
                )
                apply(state, operation)
                if operation[0] == "sync":
                    synced[operation[1]] = len(state[operation[1]])
                elif operation[0] == "rename":
                    synced[operation[2]] = synced.pop(operation[1], 0)
            unsynced = [name for name in state if len(state[name]) > synced.get(name, 0)]
            for losses in itertools.product(("all", "none", "half", "zeros"), repeat=len(unsynced)):
                found = {name: bytes(data) for name, data in state.items()}
                for name, loss in zip(unsynced, losses, strict=True):
                    durable_bytes, content = synced.get(name, 0), found[name]
                    rest = content[durable_bytes:]
                    found[name] = (
                        content[:durable_bytes]
                        + {
                            "all": rest,
                            "none": b"",
                            "half": rest[: len(rest) // 2],
                            "zeros": bytes(len(rest)),
                        }[loss]
                    )
                yield found


def apply(state, operation):
    if operation[0] == "append":
        state.setdefault(operation[1], bytearray()).extend(operation[2])
    elif operation[0] == "rename":
        if operation[1] in state:
            state[operation[2]] = state.pop(operation[1])
    elif operation[0] == "remove":
        state.pop(operation[1], None)
