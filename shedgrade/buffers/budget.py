"""What the process may hold: descriptors and bytes, so that neither limit is ever met."""

RESERVE = 64  # descriptors beside connections: epoll, pipes, standard streams, discovery, sockets closing
MEMORY_DIVISOR = 6  # copies of a body at most (two rings, parser, request, answer) and the program


class Budget:
    """Counts what is held; whoever asks for more gives up something idle first.

    Attributes:
        sockets, memory_mb: the limits that it was given, in descriptors and MB.
        reserved: descriptors kept back for the operators' address.
        held_elsewhere: while an upgrade lasts: connections of the other process, the older one; None: there
        is
            no other. Not with `capped`.
        capped: while an upgrade lasts: connections that this process, the older one, may have at the most.
        max_connections: by all of these; `max_clients` of them for clients, the rest is left to upstreams.
        max_bytes: in memory for messages; half of it while an upgrade lasts.
        clients, upstreams, others: connections that are open.
        bytes: all that are in memory for messages; `request_bytes`: of that, by requests in flight.
    """

    def __init__(self, sockets: int, memory_mb: int) -> None:
        self.reserved = 0
        self.held_elsewhere: int | None = None
        self.capped: int | None = None
        self.clients = 0
        self.upstreams = 0
        self.others = 0
        self.bytes = 0
        self.request_bytes = 0
        self.limit(sockets, memory_mb)

    def limit(self, sockets: int, memory_mb: int) -> None:
        """The limits are these from now on."""
        self.sockets = sockets
        self.memory_mb = memory_mb
        self.max_connections = max(16, sockets - RESERVE - self.reserved - (self.held_elsewhere or 0))
        if self.capped is not None:
            self.max_connections = min(self.max_connections, self.capped)
        self.max_clients = self.max_connections * 3 // 4
        upgrading = self.held_elsewhere is not None or self.capped is not None
        self.max_bytes = memory_mb * 1024 * 1024 // MEMORY_DIVISOR // (2 if upgrading else 1)

    def reserve(self, count: int) -> None:
        """Keeps so many more descriptors back."""
        self.reserved += count
        self.limit(self.sockets, self.memory_mb)

    def pressed(self) -> bool:
        """Whether bytes are short: what is long makes room for what is small."""
        return self.bytes * 2 > self.max_bytes

    def connections(self) -> int:
        """All that are open."""
        return self.clients + self.upstreams + self.others

    def share(self, held_elsewhere: int | None) -> None:
        """So much of what both processes may hold is held by the older one; None: there is no other."""
        self.held_elsewhere = held_elsewhere
        self.capped = None
        self.limit(self.sockets, self.memory_mb)

    def cap(self, most: int) -> None:
        """The older one may not grow: the newer one has been told how much is left."""
        self.capped = most
        self.limit(self.sockets, self.memory_mb)

    def full(self, coming: int = 0) -> bool:
        """Whether no further connection may be opened. `coming`: some that are being taken up and count."""
        return self.clients + coming + self.upstreams + self.others >= self.max_connections

    def full_of_clients(self, coming: int = 0) -> bool:
        """Whether no further client may connect; `coming` as above."""
        return self.clients + coming >= self.max_clients or self.full(coming)

    def check_invariants(self) -> None:
        """What holds at any time, see the class. AssertionError if something doesn't."""
        assert self.held_elsewhere is None or self.capped is None
        assert min(self.clients, self.upstreams, self.others) >= 0
        assert 0 <= self.request_bytes <= self.bytes, (self.request_bytes, self.bytes)
        assert self.max_clients <= self.max_connections
