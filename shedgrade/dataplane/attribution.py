"""Attributes an upstream's response to a request, by the id that it echoes and by what the connection has
carried before.

An upstream echoes `Attempt-Id`. A surplus response may arrive late, where the next response is due. On a
connection that has carried another request, a response without an id may therefore belong to either request.
"""

from collections.abc import Iterable
from enum import Enum

ATTEMPT_ID = b"attempt-id"


class Attribution(Enum):
    """Which request a response belongs to."""

    OWN = "own"  # the request in flight
    FOREIGN = "foreign"  # another request: the response has its id
    UNKNOWN = "unknown"  # can't be determined: neither its status nor its body may be used


def attribute(headers: Iterable[tuple[bytes, bytes]], attempt_id: bytes, sole_request: bool) -> Attribution:
    """Attributes a response with these headers to the request `attempt_id` in flight, or not.

    `sole_request`: the connection has carried no other request and received no surplus response.

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
