"""What stand-in upstreams answer, so that a judge can tell from outside whether an answer is whole, in
order, and of whom.

The content follows from the request alone (`digest`), so two upstreams answer alike; the seal says which of
them answered which try.
"""

from hashlib import blake2s


def digest(method: bytes, target: bytes, body: bytes) -> bytes:
    """Of a request as it was asked: 16 bytes."""
    return blake2s(b"%b %b\n%b" % (method, target, body), digest_size=16).digest()


def mark(asked: bytes, number: int) -> str:
    """What stands in event `number` of the answer to the request of this digest."""
    return blake2s(b"%b %d" % (asked, number), digest_size=6).hexdigest()


def event(asked: bytes, number: int, tokens: int, version: int | None = None) -> bytes:
    opening = b"" if version is None else b"versions: %d\n" % version
    return opening + b"id: %d\ndata: %s x%d\n\n" % (number, mark(asked, number).encode(), tokens)


def body(asked: bytes, size: int) -> bytes:
    """Of an answer that is no stream: `size` bytes."""
    text = mark(asked, 0).encode()
    return (text * (size // len(text) + 1))[:size]


def seal(key: bytes, instance: str, attempt: str, asked: bytes) -> str:
    told = f"{instance} {attempt} {asked.hex()}".encode()
    return f"{instance}.{blake2s(told, key=key, digest_size=8).hexdigest()}"


def sealed_by(key: bytes, seal_told: str, attempt: str, asked: bytes) -> str | None:
    """The instance whose seal it is; None if it is nobody's, or another answer's."""
    instance = seal_told.rpartition(".")[0]
    return instance if instance and seal_told == seal(key, instance, attempt, asked) else None
