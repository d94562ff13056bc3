"""`status`: the state of one core member, and the control state that it knows."""

import json
from collections.abc import Callable
from typing import Any

from shedgrade.ctl.client import ControlClient
from shedgrade.ctl.options import ExitCode, Options
from shedgrade.ctl.output import Output, format_table

StatusDocument = dict[str, Any]  # body of GET /status; the operators' PROTOCOL lists the keys


def status(_: Options, output: Output, connect: Callable[[], ControlClient]) -> ExitCode:
    """Prints the status of the first member that answers."""
    document = json.loads(connect().call("GET", "/status").body)
    output.show(describe_status(document), document)
    return ExitCode.DONE


def describe_status(document: StatusDocument) -> list[str]:
    """All of the status, as tables."""
    return [
        *describe_control_state(document),
        "",
        *describe_members(document),
        "",
        *describe_edges(document),
        "",
        *describe_upstreams(document),
        "",
        *describe_duties(document),
    ]


def describe_control_state(document: StatusDocument) -> list[str]:
    """The member that answered, and the newest control state that it knows."""
    epoch, sequence = document["finished"]
    primary = document["primary"] or "not known"
    return [
        f"{document['node']}: {document['role']} in epoch {document['epoch']}, primary {primary}",
        f"control state {epoch}.{sequence}, configuration version {document['configVersion']}, "
        f"evacuated: {', '.join(document['evacuations']) or 'none'}",
    ]


def describe_members(document: StatusDocument) -> list[str]:
    """The members of the epoch."""
    rows = [(member["name"], member["role"], member["address"]) for member in document["members"]]
    return format_table(("member", "role", "address"), rows)


def describe_edges(document: StatusDocument) -> list[str]:
    """The edges that were heard from lately."""
    head = ("edge", "state", "zone", "region", "heard s ago", "version")
    rows = [
        (
            edge["name"],
            edge["state"],
            edge["zone"],
            edge["region"],
            f"{edge['ageS']:.1f}",
            "?" if edge["configVersion"] is None else edge["configVersion"],
        )
        for edge in document["edges"]
    ]
    return format_table(head, rows)


def describe_upstreams(document: StatusDocument) -> list[str]:
    """The number of upstreams by service, region and state."""
    upstreams = document["upstreams"]
    age = "never received" if upstreams["ageS"] is None else f"{upstreams['ageS']:.1f} s old"
    rows = [
        (group["service"], group["region"], group["state"], group["count"]) for group in upstreams["byRegion"]
    ]
    return [
        f"list of upstreams {upstreams['term']}.{upstreams['number']}, {age}",
        *format_table(("service", "region", "state", "upstreams"), rows),
    ]


def describe_duties(document: StatusDocument) -> list[str]:
    """The holder of each singleton role."""
    lines = []
    for name, holder in document["duties"].items():
        known = f"{holder['address']}, term {holder['term']}" if holder else "vacant, or not known"
        lines.append(f"duty {name}: {known}")
    return lines
