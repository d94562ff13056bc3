"""The RPCs that were taken and not yet answered, and their transmissions that are out."""


class Request:
    """What the application asked, as far as it goes on to an upstream."""
    __slots__ = ("verb", "target", "headers", "body")

    def __init__(self, verb: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        self.verb, self.target, self.headers, self.body = verb, target, headers, body


class Answer:
    """A completed upstream answer."""
    __slots__ = ("headers", "body")

    def __init__(self, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        self.headers, self.body = headers, body


class Carried:
    """One RPC in hand: who asked, what was asked, the module's handle, and what is out."""
    __slots__ = ("client", "request", "rpc", "out", "done")

    def __init__(self, client: object, request: Request) -> None:
        self.client, self.request = client, request
        self.rpc, self.done = None, False
        self.out: dict[int, Transmission] = {}


class Transmission:
    """One transmission; `link` is the connection that carries it, None once its end has been told."""
    __slots__ = ("carried", "tx", "upstream", "sent", "until", "dial_until", "link")

    def __init__(self, carried: Carried, tx: int, upstream: int, sent: int, until: int) -> None:
        self.carried, self.tx, self.upstream = carried, tx, upstream
        self.sent, self.until, self.dial_until = sent, until, None
        self.link = None

    def still_out(self) -> bool:
        return self.carried.out.get(self.tx) is self
