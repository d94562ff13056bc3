"""Budget for the file descriptors and the buffer memory of the process, so that neither runs out."""

# Descriptors kept for other use: epoll, pipes, standard streams, discovery, and sockets that are closing.
RESERVED_DESCRIPTORS = 64
# A message body exists in at most five copies at once (two rings, parser, request, answer). One sixth of
# the memory is left for the program itself.
MEMORY_DIVISOR = 6


class Budget:
    """Counts open connections and buffered bytes against their limits.

    The budget only counts. Its users close an idle connection before they open one beyond the limit.

    Attributes:
        sockets: configured limit, in descriptors.
        memory_mb: configured limit, in MB.
        reserved: descriptors reserved for the operators' address.
        older_process_connections: during an upgrade, in the newer process: connections of the older process.
            None if there is no other process. Never set together with `connection_cap`.
        connection_cap: during an upgrade, in the older process: the largest number of connections it may
            have. None if there is no cap.
        max_connections: limit for all connections.
        max_clients: limit for client connections, a part of `max_connections`; the rest is for upstreams.
        max_bytes: limit for buffered bytes of messages; halved during an upgrade.
        clients, upstreams, others: open connections of each kind.
        bytes: buffered bytes of all messages.
        request_bytes: the part of `bytes` that belongs to requests in flight.
    """

    def __init__(self, sockets: int, memory_mb: int) -> None:
        self.reserved = 0
        self.older_process_connections: int | None = None
        self.connection_cap: int | None = None
        self.clients = 0
        self.upstreams = 0
        self.others = 0
        self.bytes = 0
        self.request_bytes = 0
        self.limit(sockets, memory_mb)

    def limit(self, sockets: int, memory_mb: int) -> None:
        """Sets the limits, and recomputes those derived from them."""
        self.sockets = sockets
        self.memory_mb = memory_mb
        self.max_connections = max(
            16, sockets - RESERVED_DESCRIPTORS - self.reserved - (self.older_process_connections or 0)
        )
        if self.connection_cap is not None:
            self.max_connections = min(self.max_connections, self.connection_cap)
        self.max_clients = self.max_connections * 3 // 4
        upgrading = self.older_process_connections is not None or self.connection_cap is not None
        self.max_bytes = memory_mb * 1024 * 1024 // MEMORY_DIVISOR // (2 if upgrading else 1)

    def reserve(self, count: int) -> None:
        """Reserves `count` more descriptors."""
        self.reserved += count
        self.limit(self.sockets, self.memory_mb)

    def under_pressure(self) -> bool:
        """Whether more than half of the bytes are in use: long messages are then buffered less."""
        return self.bytes * 2 > self.max_bytes

    def connections(self) -> int:
        """The number of open connections."""
        return self.clients + self.upstreams + self.others

    def share(self, older_process_connections: int | None) -> None:
        """Sets the number of connections that the older process holds; None: there is no other process."""
        self.older_process_connections = older_process_connections
        self.connection_cap = None
        self.limit(self.sockets, self.memory_mb)

    def cap(self, most: int) -> None:
        """Limits the connections of the older process: the newer one has been told how many are left."""
        self.connection_cap = most
        self.limit(self.sockets, self.memory_mb)

    def full(self, coming: int = 0) -> bool:
        """Whether no further connection may be opened.

        `coming`: connections that are being accepted, which count as open.
        """
        return self.clients + coming + self.upstreams + self.others >= self.max_connections

    def client_limit_reached(self, coming: int = 0) -> bool:
        """Whether no further client may connect; `coming` as for `full`."""
        return self.clients + coming >= self.max_clients or self.full(coming)

    def check_invariants(self) -> None:
        """Raises AssertionError if the counters or limits contradict the class description."""
        assert self.older_process_connections is None or self.connection_cap is None
        assert min(self.clients, self.upstreams, self.others) >= 0
        assert 0 <= self.request_bytes <= self.bytes, (self.request_bytes, self.bytes)
        assert self.max_clients <= self.max_connections
