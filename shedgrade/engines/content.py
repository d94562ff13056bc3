"""The content of stand-in upstreams' responses, from which a checker can tell whether a response is complete,
in order, and by which upstream.

The content follows from the request alone (`digest`), so two upstreams respond alike; the seal says which of
them responded to which attempt.
"""

from hashlib import blake2s


def digest(method: bytes, target: bytes, body: bytes) -> bytes:
    """Digest of a request, 16 bytes."""
    return blake2s(b"%b %b\n%b" % (method, target, body), digest_size=16).digest()


def event_text(request_digest: bytes, event_id: int) -> str:
    """The text in event `event_id` of the response to the request with this digest."""
    return blake2s(b"%b %d" % (request_digest, event_id), digest_size=6).hexdigest()


def event(request_digest: bytes, event_id: int, tokens: int, version: int | None = None) -> bytes:
    """An event of a streamed response. `version`: of the weights, if it changed."""
    version_line = b"" if version is None else b"versions: %d\n" % version
    return version_line + b"id: %d\ndata: %s x%d\n\n" % (
        event_id,
        event_text(request_digest, event_id).encode(),
        tokens,
    )


def body(request_digest: bytes, size: int) -> bytes:
    """The body of a response that is not streamed: `size` bytes."""
    text = event_text(request_digest, 0).encode()
    return (text * (size // len(text) + 1))[:size]


def seal(key: bytes, instance: str, attempt: str, request_digest: bytes) -> str:
    """The seal of an instance's response to one attempt; only the holder of `key` can make it."""
    sealed_text = f"{instance} {attempt} {request_digest.hex()}".encode()
    return f"{instance}.{blake2s(sealed_text, key=key, digest_size=8).hexdigest()}"


def sealed_by(key: bytes, received_seal: str, attempt: str, request_digest: bytes) -> str | None:
    """The instance that sealed the response; None if the seal is forged or belongs to another response."""
    instance = received_seal.rpartition(".")[0]
    return instance if instance and received_seal == seal(key, instance, attempt, request_digest) else None
