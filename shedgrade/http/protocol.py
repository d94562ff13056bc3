"""What differs between the protocols that upstreams speak: one object, handed to whoever calls them."""

from shedgrade.in_flight import Transmission

NOT_RUN = (503, 504)  # statuses that may say that a request was not run


class InService:
    """The protocol of the deployments in service: `X-Timeout-Ms`, `X-Not-Processed`."""

    def lines(self, transmission: Transmission, wait: int) -> list[bytes]:
        """Header lines of one transmission alone; `wait`: ms that its client waits from now on."""
        return [b"X-Timeout-Ms: %d\r\n" % wait]

    def turned_away(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        """The upstream says that it did not run it, and never will."""
        return status in NOT_RUN and any(
            name.lower() == b"x-not-processed" and value == b"1" for name, value in headers
        )


IN_SERVICE = InService()
