"""Checks beyond `ruff check`: formatting of the whole tree, doc comments and types of finished packages.

Usage: python -m tools.checks

A finished package is added to `DOCUMENTED` and `TYPED`; entries of these lists are not removed.
"""

import subprocess
import sys

DOCUMENTED: tuple[str, ...] = (
    "shedgrade/buffers",
    "shedgrade/configuration.py",
    "shedgrade/control_messages.py",
    "shedgrade/controlplane",
    "shedgrade/ctl",
    "shedgrade/dataplane",
    "shedgrade/file_frames.py",
    "shedgrade/findings.py",
    "shedgrade/http/connection.py",
    "shedgrade/http/connection_pool.py",
    "shedgrade/http/discovery_connection.py",
    "shedgrade/http/endpoint_discovery.py",
    "shedgrade/http/idle_connections.py",
    "shedgrade/http/inbound_connection.py",
    "shedgrade/http/listener.py",
    "shedgrade/http/message_grammar.py",
    "shedgrade/http/request_parser.py",
    "shedgrade/http/response_writer.py",
    "shedgrade/http/rpc_connection.py",
    "shedgrade/http/server.py",
    "shedgrade/http/server_connection.py",
    "shedgrade/http/server_messages.py",
    "shedgrade/http/socket_state.py",
    "shedgrade/http/upstream_connection.py",
    "shedgrade/http/upstream_protocol.py",
    "shedgrade/in_flight.py",
    "shedgrade/load_balancing",
    "shedgrade/load_reports",
    "shedgrade/membership",
    "shedgrade/model_routing",
    "shedgrade/peer_transport",
    "shedgrade/prefix_cache_index",
    "shedgrade/process_settings",
    "shedgrade/program.py",
    "shedgrade/replication",
    "shedgrade/request_dispatch.py",
    "shedgrade/route_matching",
    "shedgrade/runtime/clock.py",
    "shedgrade/runtime/log.py",
    "shedgrade/runtime/log_ring.py",
    "shedgrade/runtime/loop_errors.py",
    "shedgrade/runtime/stall_detection.py",
    "shedgrade/served_routes.py",
    "shedgrade/sidecar/admin",
    "shedgrade/sidecar/capture",
    "shedgrade/sidecar/endpoint_snapshot",
    "shedgrade/sidecar/learned_state_file.py",
    "shedgrade/sidecar/lifecycle",
    "shedgrade/sidecar/quota",
    "shedgrade/sidecar/shadow_policy",
    "shedgrade/simulation",
    "shedgrade/simulator_adapter",
    "shedgrade/storage",
    "shedgrade/upstream_pool",
    "tools",
)
TYPED: tuple[str, ...] = (
    "benchmarks/ablation.py",
    "benchmarks/own_days.py",
    "shedgrade/buffers",
    "shedgrade/configuration.py",
    "shedgrade/control_messages.py",
    "shedgrade/controlplane/channels.py",
    "shedgrade/controlplane/command_router.py",
    "shedgrade/controlplane/commands.py",
    "shedgrade/controlplane/configuration_validation.py",
    "shedgrade/controlplane/deduplication.py",
    "shedgrade/controlplane/delta.py",
    "shedgrade/controlplane/directory.py",
    "shedgrade/controlplane/directory_service.py",
    "shedgrade/controlplane/disk_thread.py",
    "shedgrade/controlplane/edge_table.py",
    "shedgrade/controlplane/endpoint_list.py",
    "shedgrade/controlplane/endpoint_list_sync.py",
    "shedgrade/controlplane/home_regions.py",
    "shedgrade/controlplane/message_dispatcher.py",
    "shedgrade/controlplane/operator_api.py",
    "shedgrade/controlplane/peer_messenger.py",
    "shedgrade/controlplane/periodic_tasks.py",
    "shedgrade/controlplane/platform_poller.py",
    "shedgrade/controlplane/prefix_index_exchange.py",
    "shedgrade/controlplane/reachability.py",
    "shedgrade/controlplane/references.py",
    "shedgrade/controlplane/role_election.py",
    "shedgrade/controlplane/role_messages.py",
    "shedgrade/controlplane/serde_without_numpy.py",
    "shedgrade/controlplane/singleton_roles.py",
    "shedgrade/controlplane/state_keys.py",
    "shedgrade/controlplane/status.py",
    "shedgrade/controlplane/watch_hub.py",
    "shedgrade/ctl",
    "shedgrade/dataplane/attribution.py",
    "shedgrade/dataplane/control_client.py",
    "shedgrade/dataplane/control_exchange.py",
    "shedgrade/dataplane/core_member.py",
    "shedgrade/dataplane/draining.py",
    "shedgrade/dataplane/engine_connection_pool.py",
    "shedgrade/dataplane/fleet_size.py",
    "shedgrade/dataplane/graceful_shutdown.py",
    "shedgrade/dataplane/load_exchange.py",
    "shedgrade/dataplane/plane.py",
    "shedgrade/dataplane/received_state.py",
    "shedgrade/dataplane/service_times.py",
    "shedgrade/dataplane/state.py",
    "shedgrade/file_frames.py",
    "shedgrade/findings.py",
    "shedgrade/http/connection.py",
    "shedgrade/http/idle_connections.py",
    "shedgrade/http/inbound_connection.py",
    "shedgrade/http/listener.py",
    "shedgrade/http/message_grammar.py",
    "shedgrade/http/request_parser.py",
    "shedgrade/http/response_writer.py",
    "shedgrade/http/rpc_connection.py",
    "shedgrade/http/socket_state.py",
    "shedgrade/http/upstream_protocol.py",
    "shedgrade/load_reports",
    "shedgrade/membership",
    "shedgrade/peer_transport",
    "shedgrade/prefix_cache_index",
    "shedgrade/process_settings",
    "shedgrade/program.py",
    "shedgrade/replication",
    "shedgrade/route_matching",
    "shedgrade/runtime/clock.py",
    "shedgrade/runtime/log.py",
    "shedgrade/runtime/log_ring.py",
    "shedgrade/runtime/loop_errors.py",
    "shedgrade/runtime/stall_detection.py",
    "shedgrade/served_routes.py",
    "shedgrade/sidecar/admin",
    "shedgrade/sidecar/endpoint_snapshot",
    "shedgrade/sidecar/learned_state_file.py",
    "shedgrade/sidecar/lifecycle",
    "shedgrade/sidecar/quota",
    "shedgrade/simulation",
    "shedgrade/storage",
    "shedgrade/upstream_pool/front.py",
    "tools",
)
# Rules that require a doc comment on each public module, class, function and method, and a return annotation
# on each function.
DOC_RULES = "D100,D101,D102,D103,D104,D106,D2,D3,D4,ANN2"
# D203 and D213 are the opposites of D211 and D212. D205, D209, D400 and D415 would forbid a summary that
# continues on the next line and ends there, D401 one that starts with "True if" in place of "Return", and
# D404 one that starts with "This". D406, D407 and D413 require a form of sections that is not used here.
IGNORED_RULES = "D203,D205,D209,D213,D400,D401,D404,D406,D407,D413,D415"


def commands() -> list[list[str]]:
    """Returns the checks, each as a command with its arguments."""
    ruff, mypy = [sys.executable, "-m", "ruff"], [sys.executable, "-m", "mypy"]
    return [
        [*ruff, "format", "--check", "--quiet", "."],
        [*ruff, "check", "--quiet", "--select", DOC_RULES, "--ignore", IGNORED_RULES, *DOCUMENTED],
        [*mypy, "--no-error-summary", *TYPED],
    ]


def main() -> int:
    """Runs all checks, even after one has failed. Returns 1 as the exit status if any failed, else 0."""
    failed = [command for command in commands() if subprocess.run(command, check=False).returncode]
    for command in failed:
        print("failed:", " ".join(command[1:]), file=sys.stderr)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
