"""A machine's place in the simulated network."""

from __future__ import annotations

Address = tuple[str, int]  # (ip, port)


class Host:
    """One host, by its IP.

    Attributes:
        region: paths between regions are longer.
        bandwidth: bytes a second that leave it; 0: unlimited.
        powered: its kernel works, whether or not a process runs.
        busy_until: when its link has sent all that it was given.
        extra_delay_s: added to the delay of all its paths.
    """

    def __init__(self, ip: str, region: str, bandwidth: float = 0.0) -> None:
        self.ip = ip
        self.region = region
        self.bandwidth = bandwidth
        self.powered = True
        self.busy_until = 0.0
        self.extra_delay_s = 0.0
