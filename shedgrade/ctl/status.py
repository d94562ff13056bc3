"""`status`: what one core member knows, and what its control state is."""

import json

from shedgrade.ctl.output import Output, table


def run(options, output: Output, caller) -> int:
    data = json.loads(caller().call("GET", "/status").body)
    output.tell(words(data), data)
    return 0


def words(data: dict) -> list[str]:
    epoch, sequence = data["finished"]
    primary = data["primary"] or "not known"
    lines = [
        f"{data['node']}: {data['role']} in epoch {data['epoch']}, primary {primary}",
        f"control state {epoch}.{sequence}, configuration version {data['configVersion']}, "
        f"evacuated: {', '.join(data['evacuations']) or 'none'}",
        "",
    ]
    lines += table(
        ("member", "role", "address"), [(one["name"], one["role"], one["address"]) for one in data["members"]]
    )
    lines += [
        "",
        *table(
            ("edge", "state", "zone", "region", "heard s ago", "version"),
            [
                (
                    one["name"],
                    one["state"],
                    one["zone"],
                    one["region"],
                    f"{one['ageS']:.1f}",
                    "?" if one["configVersion"] is None else one["configVersion"],
                )
                for one in data["edges"]
            ],
        ),
    ]
    upstreams = data["upstreams"]
    age = "never told" if upstreams["ageS"] is None else f"{upstreams['ageS']:.1f} s old"
    lines += [
        "",
        f"list of upstreams {upstreams['term']}.{upstreams['number']}, {age}",
        *table(
            ("service", "region", "state", "upstreams"),
            [(one["service"], one["region"], one["state"], one["count"]) for one in upstreams["byRegion"]],
        ),
        "",
    ]
    for name, holder in data["duties"].items():
        known = f"{holder['address']}, term {holder['term']}" if holder else "vacant, or not known"
        lines.append(f"duty {name}: {known}")
    return lines
