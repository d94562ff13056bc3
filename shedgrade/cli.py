"""The command line."""
import asyncio
import sys
from pathlib import Path
from typing import Annotated

import typer
import uvloop
from loguru import logger

from shedgrade import __version__
from shedgrade.lifecycle.config import ConfigError, load
from shedgrade.lifecycle.sidecar import Sidecar

app = typer.Typer(help="A client-side load balancer: one sidecar beside every client process.",
                  no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False)
ConfigFile = Annotated[Path | None, typer.Option("--config", help="JSON file; GW_CONFIG names it otherwise.")]


def fail(wrong: ConfigError) -> None:
    print(f"shedgrade: {' '.join(str(wrong).split())}", file=sys.stderr)
    raise typer.Exit(2)


@app.command()
def serve(config: ConfigFile = None,
          log_level: Annotated[str, typer.Option(help="DEBUG, INFO, WARNING or ERROR.")] = "INFO") -> None:
    """Run one sidecar until SIGTERM."""
    logger.remove()
    logger.add(sys.stderr, level=log_level.upper(), format="{time:HH:mm:ss.SSS} {level} {message}")

    async def run() -> None:
        await Sidecar(load(config and str(config)), asyncio.get_running_loop()).serve()

    try:
        uvloop.run(run())
    except ConfigError as wrong:
        fail(wrong)


@app.command()
def version() -> None:
    """Print the version."""
    print(__version__)


@app.command()
def check_config(config: ConfigFile = None) -> None:
    """Read the configuration as `serve` would, and say whether it would start."""
    async def check() -> Sidecar:
        return Sidecar(load(config and str(config)), asyncio.get_running_loop())

    try:
        sidecar = asyncio.run(check())
    except ConfigError as wrong:
        fail(wrong)
    known = (sidecar.config.known or {}).get("instances", [])
    print(f"{sidecar.config.name}: {len(sidecar.methods)} methods, {len(known)} upstreams known, good")
