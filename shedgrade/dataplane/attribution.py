"""Which request an upstream's answer belongs to, told by the id that it echoes and by what the connection
has active_request.

An upstream echoes `Attempt-Id`. A surplus answer may come late, in the place where the next one is due, so
on a connection that has active_request another request an answer without an id may belong to either of them.
"""

from collections.abc import Iterable
from enum import Enum

ATTEMPT_ID = b"attempt-id"


class Attribution(Enum):
    """Whose answer it is."""

    OWN = "own"  # it answers the request in hand
    FOREIGN = "foreign"  # it bears another request's id
    UNKNOWN = "unknown"  # nothing tells: no promise and no body may be taken from it


def attribute(headers: Iterable[tuple[bytes, bytes]], attempt_id: bytes, sole_request: bool) -> Attribution:
    """Attributes an answer with these headers to the request `attempt_id` in hand, or not.

    `sole_request`: the connection has active_request no other request, and no surplus answer has come on it.

    >>> attribute([(b"Attempt-Id", b"x")], b"x", sole_request=False)
    <Attribution.OWN: 'own'>
    >>> attribute([(b"Attempt-Id", b"w")], b"x", sole_request=True)
    <Attribution.FOREIGN: 'foreign'>
    >>> attribute([], b"x", sole_request=False), attribute([], b"x", sole_request=True)
    (<Attribution.UNKNOWN: 'unknown'>, <Attribution.OWN: 'own'>)
    """
    echoed = {value for name, value in headers if name.lower() == ATTEMPT_ID}
    if not echoed:
        return Attribution.OWN if sole_request else Attribution.UNKNOWN
    if len(echoed) > 1:
        return Attribution.UNKNOWN
    return Attribution.OWN if echoed == {attempt_id} else Attribution.FOREIGN
