"""What an operator's connection proves about the time at which its commands were sent.

The time at which a command is read proves nothing: the network may hold up its bytes for any time, and the
end of the connection behind them. A command was certainly sent after its connection was opened, as a client
sends nothing before the handshake is complete, and after the earlier commands on the same connection. So a
command may build on any revision of its zone that this member knew at these moments. Whether it may build on
a newer one, only the client can say: it is asked by a redirect (`operator_api.py`), which a client that has
moved on does not follow.

Source: PROTOCOL, "The operator's API": callers follow 307 twice, and move on after a second of silence.
"""

import msgspec


class OperatorSession:
    """One connection of an operator.

    Attributes:
        opened_after: time of the member's steady clock, in seconds, before which the connection was not open;
            minus infinity if that is unknown.
        encoded_revisions: revisions by zone, as the control state has them, which the member knew when the
            connection was opened; None if that is unknown.
        made_revisions: by zone, the lowest revision that a command of this connection can have made.
    """

    __slots__ = ("opened_after", "encoded_revisions", "made_revisions")

    def __init__(self, opened_after: float, encoded_revisions: bytes | None) -> None:
        self.opened_after = opened_after
        self.encoded_revisions = encoded_revisions
        self.made_revisions: dict[str, int] = {}

    def proven_revision(self, zone: str) -> int | None:
        """The newest revision of the zone that every later command of this connection is certainly not older
        than; None if there is no proof.

        >>> session = OperatorSession(0.0, b'{"hall-1": 3}')
        >>> session.proven_revision("hall-1"), session.proven_revision("hall-2")
        (3, 0)
        >>> session.record_command("hall-2", 7)
        >>> session.proven_revision("hall-2")
        7
        >>> OperatorSession(0.0, None).proven_revision("hall-1") is None
        True
        """
        made = self.made_revisions.get(zone)
        if self.encoded_revisions is None:
            return made
        known = msgspec.json.decode(self.encoded_revisions or b"{}", type=dict[str, int]).get(zone, 0)
        return max(known, made or 0)

    def record_command(self, zone: str, revision: int) -> None:
        """Records that a command of this connection was carried out; its zone has at least `revision` now."""
        self.made_revisions[zone] = max(revision, self.made_revisions.get(zone, 0))
