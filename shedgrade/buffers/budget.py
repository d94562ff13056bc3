"""What the process may hold: descriptors and bytes, so that neither limit is ever met."""

RESERVE = 64  # descriptors beside connections: epoll, pipes, standard streams, discovery, sockets closing
SHARE = 6  # of the memory: copies of a body at most (two rings, parser, request, answer) and the program


class Budget:
    """Counts what is held; whoever asks for more gives up something idle first."""

    def __init__(self, sockets: int, memory_mb: int) -> None:
        self.kept = 0  # descriptors kept back for the operators' address
        # While an upgrade lasts: what the other process holds; or the most that this one, the older, may.
        self.elsewhere: int | None = None
        self.capped: int | None = None
        self.limit(sockets, memory_mb)
        self.clients = self.upstreams = self.others = 0
        self.bytes = self.asked = 0  # all that is held; of that, by requests in hand

    def limit(self, sockets: int, memory_mb: int) -> None:
        self.sockets, self.memory_mb = sockets, memory_mb
        self.most = max(16, sockets - RESERVE - self.kept - (self.elsewhere or 0))
        if self.capped is not None:
            self.most = min(self.most, self.capped)
        self.most_clients = self.most * 3 // 4  # the rest is left to upstreams, whoever connects here
        both = self.elsewhere is not None or self.capped is not None
        self.most_bytes = memory_mb * 1024 * 1024 // SHARE // (2 if both else 1)

    def keep(self, count: int) -> None:
        self.kept += count
        self.limit(self.sockets, self.memory_mb)

    def pressed(self) -> bool:
        """Bytes are short: what is long makes room for what is small."""
        return self.bytes * 2 > self.most_bytes

    def held(self) -> int:
        return self.clients + self.upstreams + self.others

    def share(self, elsewhere: int | None) -> None:
        """So much of what both processes may hold is held by the older one; None: there is no other."""
        self.elsewhere, self.capped = elsewhere, None
        self.limit(self.sockets, self.memory_mb)

    def cap(self, most: int) -> None:
        """The older one may not grow: the newer one has been told how much is left."""
        self.capped = most
        self.limit(self.sockets, self.memory_mb)

    def full(self, coming: int = 0) -> bool:
        """`coming`: connections that are being taken up and count already."""
        return self.clients + coming + self.upstreams + self.others >= self.most

    def full_of_clients(self, coming: int = 0) -> bool:
        return self.clients + coming >= self.most_clients or self.full(coming)
