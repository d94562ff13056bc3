"""The content of stand-in upstreams' responses, from which a checker can tell whether a response is complete,
in order, and by which upstream.

The content follows from the request alone (`digest`), so two upstreams respond alike; the seal says which of
them responded to which attempt.
"""

from hashlib import blake2s


def digest(method: bytes, target: bytes, body: bytes) -> bytes:
    """Digest of a request, 16 bytes."""
    return blake2s(b"%b %b\n%b" % (method, target, body), digest_size=16).digest()


def mark(asked: bytes, number: int) -> str:
    """The text in event `number` of the response to the request with this digest."""
    return blake2s(b"%b %d" % (asked, number), digest_size=6).hexdigest()


def event(asked: bytes, number: int, tokens: int, version: int | None = None) -> bytes:
    """An event of a streamed response. `version`: of the weights, if it changed."""
    opening = b"" if version is None else b"versions: %d\n" % version
    return opening + b"id: %d\ndata: %s x%d\n\n" % (number, mark(asked, number).encode(), tokens)


def body(asked: bytes, size: int) -> bytes:
    """The body of a response that is not streamed: `size` bytes."""
    text = mark(asked, 0).encode()
    return (text * (size // len(text) + 1))[:size]


def seal(key: bytes, instance: str, attempt: str, asked: bytes) -> str:
    """The seal of an instance's response to one attempt; only the holder of `key` can make it."""
    told = f"{instance} {attempt} {asked.hex()}".encode()
    return f"{instance}.{blake2s(told, key=key, digest_size=8).hexdigest()}"


def sealed_by(key: bytes, seal_told: str, attempt: str, asked: bytes) -> str | None:
    """The instance that sealed the response; None if the seal is forged or belongs to another response."""
    instance = seal_told.rpartition(".")[0]
    return instance if instance and seal_told == seal(key, instance, attempt, asked) else None
