"""The command line: the commands of the daemon, and groups whose modules are imported only when called."""

import asyncio
import sys
from pathlib import Path
from typing import Annotated, NoReturn

import typer
import uvloop

from shedgrade import __version__
from shedgrade.sidecar.lifecycle.config import Config, load_config
from shedgrade.sidecar.lifecycle.logs import log_to_stderr
from shedgrade.sidecar.lifecycle.reload_signal import record_reload_signal
from shedgrade.sidecar.lifecycle.sidecar import Sidecar
from shedgrade.upstream_pool.errors import ConfigError

app = typer.Typer(
    help="A client-side load balancer: one sidecar beside every client process.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
ConfigFile = Annotated[
    Path | None, typer.Option("--config", help="JSON file; without it, the file that GW_CONFIG names.")
]
FeaturesFile = Annotated[
    Path | None, typer.Option("--features", help="TOML file that turns on optional features; see deploy/.")
]
LogLevel = Annotated[str, typer.Option(help="DEBUG, INFO, WARNING or ERROR.")]
LogFormat = Annotated[str, typer.Option(help="text or json.")]


def fail(error: Exception) -> NoReturn:
    """Prints the error in one line on standard error and exits with status 2."""
    print(f"shedgrade: {' '.join(str(error).split())}", file=sys.stderr)
    raise typer.Exit(2)


def start_log(level: str, log_format: str) -> None:
    """Sends the log to standard error. Exits with status 2 if the level or the format is unknown."""
    try:
        log_to_stderr(level, log_format)
    except ValueError as error:
        fail(error)


def with_features(config: Config, path: Path | None, loop: asyncio.AbstractEventLoop) -> Sidecar:
    """Builds the sidecar with the features that the file turns on. Modules that no feature needs are not
    imported."""
    if path is None:
        return Sidecar(config, loop)
    from shedgrade.sidecar.lifecycle.features import load_features

    sidecar = Sidecar(config, loop)
    methods = {name.decode() for name in sidecar.pool.methods}
    features, parts = load_features(path, methods), []
    if features.capture is not None:
        from shedgrade.sidecar.capture.part import CapturePart

        part = CapturePart(features.capture)
        parts.append(part)
    if features.watch is not None:
        from shedgrade.sidecar.shadow_policy.part import ShadowPolicyPart

        parts.append(ShadowPolicyPart(features.watch, str(path), parts[0].decisions if parts else None))
    if parts:
        # Each part wraps the decisions of the part before it, so the sidecar gets the last one's.
        sidecar = Sidecar(config, loop, parts[-1].decisions)
        for part in parts:
            part.join(sidecar)
    sidecar.load_features = lambda names: load_features(path, names)
    if features.saved is not None:
        from shedgrade.sidecar.endpoint_snapshot.source import SavedList

        sidecar.pool.saved = SavedList(features.saved, config.name, config.settings)
    if features.quota is not None:
        from shedgrade.sidecar.quota.feature import QuotaFeature

        sidecar.features.append(QuotaFeature(sidecar, features.quota))
    if features.tunnel is not None or features.pools:
        from shedgrade.sidecar.tunnel.assemble import TunnelFeature

        sidecar.features.append(TunnelFeature(sidecar, features))
    return sidecar


@app.command()
def serve(
    config: ConfigFile = None,
    features: FeaturesFile = None,
    log_level: LogLevel = "INFO",
    log_format: LogFormat = "text",
) -> None:
    """Run one sidecar until SIGTERM."""
    start_log(log_level, log_format)
    record_reload_signal()

    async def run() -> None:
        loop = asyncio.get_running_loop()
        await with_features(load_config(config and str(config)), features, loop).serve()

    try:
        uvloop.run(run())
    except ConfigError as error:
        fail(error)


@app.command()
def version() -> None:
    """Print the version."""
    print(__version__)


@app.command()
def check_config(
    config: ConfigFile = None, features: FeaturesFile = None, log_format: LogFormat = "text"
) -> None:
    """Read the configuration as `serve` does, and report whether it would start."""
    start_log("INFO", log_format)

    async def check() -> Sidecar:
        return with_features(load_config(config and str(config)), features, asyncio.get_running_loop())

    try:
        sidecar = asyncio.run(check())
    except ConfigError as error:
        fail(error)
    known = (sidecar.config.known or {}).get("instances", [])
    print(f"{sidecar.config.name}: {len(sidecar.pool.methods)} methods, {len(known)} upstreams known, good")


PASS_THROUGH_SETTINGS = {"allow_extra_args": True, "ignore_unknown_options": True, "help_option_names": []}


@app.command(context_settings=PASS_THROUGH_SETTINGS)
def saved(context: typer.Context) -> None:
    """Show, check or compact a folder of saved lists: `shedgrade saved --help`."""
    from shedgrade.cli.saved import app as commands

    commands(context.args, prog_name="shedgrade saved")


@app.command(context_settings=PASS_THROUGH_SETTINGS)
def replay(context: typer.Context) -> None:
    """Replay, explain, shorten a capture: `shedgrade replay --help`."""
    from shedgrade.cli.replay import replay as command

    replay_app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)
    replay_app.command()(command)
    replay_app(context.args, prog_name="shedgrade replay")


@app.command(context_settings=PASS_THROUGH_SETTINGS)
def quota(context: typer.Context) -> None:
    """Check and explain quotas: `shedgrade quota --help`."""
    from shedgrade.cli.quota import app as commands

    commands(context.args, prog_name="shedgrade quota")


@app.command(context_settings=PASS_THROUGH_SETTINGS)
def lab(context: typer.Context) -> None:
    """Stand-in fleets, load, faults and measurements on loopback: `shedgrade lab --help`."""
    try:
        from shedgrade.cli.lab import app as commands
    except ModuleNotFoundError as missing:
        fail(ValueError(f"lab: {missing.name} is not installed: pip install 'shedgrade[lab]'"))
    commands(context.args, prog_name="shedgrade lab")
