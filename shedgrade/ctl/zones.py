"""`evacuate ZONE` and `return ZONE`. Both are idempotent, so either is resent until a member answers."""

from collections.abc import Callable
from urllib.parse import quote

from shedgrade.ctl.client import ControlClient
from shedgrade.ctl.options import ExitCode, Options
from shedgrade.ctl.output import Output

Connect = Callable[[], ControlClient]


def evacuate(options: Options, output: Output, connect: Connect) -> ExitCode:
    """Stops sending new requests to the upstreams of the zone."""
    connect().call("POST", evacuation_path(options.zone))
    text = f"{options.zone} is evacuated: nothing new is sent there"
    output.show([text], {"zone": options.zone, "evacuated": True})
    return ExitCode.DONE


def return_zone(options: Options, output: Output, connect: Connect) -> ExitCode:
    """Ends the evacuation of the zone."""
    connect().call("DELETE", evacuation_path(options.zone))
    output.show([f"{options.zone} takes requests again"], {"zone": options.zone, "evacuated": False})
    return ExitCode.DONE


def evacuation_path(zone: str) -> str:
    """The path of the zone's evacuation in the operator API."""
    return f"/evacuation/{quote(zone, safe='')}"
