"""`evacuate ZONE` and `return ZONE`."""

from urllib.parse import quote

from shedgrade.ctl.output import Output


def run(options, output: Output, caller) -> int:
    zone, back = options["ZONE"], options["return"]
    # Said twice it is the same: it may be sent again until one answers.
    caller().call("DELETE" if back else "POST", f"/evacuation/{quote(zone, safe='')}")
    words = f"{zone} takes requests again" if back else f"{zone} is evacuated: nothing new is sent there"
    output.tell([words], {"zone": zone, "evacuated": not back})
    return 0
