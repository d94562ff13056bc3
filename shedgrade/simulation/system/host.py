"""A machine's host in the simulated network."""

from __future__ import annotations

Address = tuple[str, int]  # (ip, port)


class Host:
    """One host, identified by its IP address.

    Attributes:
        ip: IP address.
        region: region of the host; paths between regions have a longer delay.
        bandwidth: rate at which it sends, bytes per second; 0 means unlimited.
        powered: whether the host has power, so that its kernel responds even while no process runs.
        busy_until: virtual time at which its link has sent all data queued so far, seconds.
        extra_delay_s: delay added to all its paths, seconds.
    """

    def __init__(self, ip: str, region: str, bandwidth: float = 0.0) -> None:
        self.ip = ip
        self.region = region
        self.bandwidth = bandwidth
        self.powered = True
        self.busy_until = 0.0
        self.extra_delay_s = 0.0
