"""A sidecar that balances by a baseline policy of the lab: `python -m shedgrade.lab.sidecar POLICY`.

Apart from the policy it works as `shedgrade serve` does.
"""

import asyncio
import sys

import uvloop

from shedgrade.lab.baselines import POLICIES
from shedgrade.sidecar.lifecycle.config import load_config
from shedgrade.sidecar.lifecycle.logs import log_to_stderr
from shedgrade.sidecar.lifecycle.sidecar import Sidecar


def main() -> None:
    log_to_stderr("INFO", "text")

    async def run() -> None:
        await Sidecar(load_config(), asyncio.get_running_loop(), POLICIES[sys.argv[1]]).serve()

    uvloop.run(run())


if __name__ == "__main__":
    main()
