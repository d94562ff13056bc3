"""What a member has learnt about other processes from their messages: addresses, names, last contact."""

from __future__ import annotations


class PeerDirectory:
    """Processes by incarnation, and link addresses by the time of the last message.

    `addresses`: link address by incarnation, as last announced; holds this process from the start.
    `names`: node name by incarnation; an incarnation whose name was never announced is missing.
    `last_message_at`: by link address, when anything at all came from there (seconds of the steady clock).
    `founders`: incarnation by link address of the founding processes that were heard, this one included
    if it is one.
    """

    def __init__(self, incarnation: int, address: str, name: str, founding: bool) -> None:
        """Of the process with this incarnation, which knows only itself yet."""
        self.addresses: dict[int, str] = {incarnation: address}
        self.names: dict[int, str] = {incarnation: name}
        self.last_message_at: dict[str, float] = {}
        self.founders: dict[str, int] = {address: incarnation} if founding else {}

    def note_address(self, incarnation: int, address: str, name: str = "") -> None:
        """A process announced its address, and perhaps its name."""
        self.addresses[incarnation] = address
        if name:
            self.names[incarnation] = name

    def address_of(self, incarnation: int, otherwise: str) -> str:
        """The address last announced, or `otherwise` if none was."""
        return self.addresses.get(incarnation, otherwise)
