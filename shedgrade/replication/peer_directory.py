"""Addresses, names and last contact of other processes, as learnt from their messages."""

from __future__ import annotations


class PeerDirectory:
    """Processes by incarnation, and times of the last message by link address.

    `addresses`: link address by incarnation, as last announced; contains this process from the start.
    `names`: node name by incarnation, if it was announced.
    `last_message_at`: by link address, when the last message from there arrived, in seconds of the steady
    clock.
    `founders`: incarnation by link address of the founders that were heard, and of this process if it is one.
    """

    def __init__(self, incarnation: int, address: str, name: str, founding: bool) -> None:
        """The process of this incarnation knows only itself at first. `founding`: whether it is a founder."""
        self.addresses: dict[int, str] = {incarnation: address}
        self.names: dict[int, str] = {incarnation: name}
        self.last_message_at: dict[str, float] = {}
        self.founders: dict[str, int] = {address: incarnation} if founding else {}

    def note_address(self, incarnation: int, address: str, name: str = "") -> None:
        """Records the address that a process announced, and its name if it announced one."""
        self.addresses[incarnation] = address
        if name:
            self.names[incarnation] = name

    def address_of(self, incarnation: int, otherwise: str) -> str:
        """Returns the address last announced, or `otherwise` if none was."""
        return self.addresses.get(incarnation, otherwise)
