"""Simulation of the whole system in virtual time: real control and data planes on simulated machines.

`simulated_system.SimulatedSystem` holds unmodified `ControlPlane` and `DataPlane` objects. Each runs on an
event loop of its own (`process_loop`); all loops share one virtual time (`virtual_time`). The rest is
simulated: a network of TCP streams and datagrams (`network`, `tcp_connection`), disks below the programs' own
`Store` (`disk`), operators that call over HTTP (`caller`, `operators`), and the platform's endpoint list
(`platform`). The same seed gives the same run, down to each operation (`History.digest`).

A scripted run injects faults at exact times:

    system = SimulatedSystem(1, SystemParameters(operators=0))
    system.start()
    system.time.at(5.0, system.cores[0].stop)
    system.time.at(9.0, system.cores[0].thaw)
    system.run(until=20.0)

Between two calls of `run` the state may be inspected and changed: `system.cores[0].program` is the
ControlPlane that runs on the first core machine, `system.primary()` the machine that acts as primary, and
`system.history` holds what was observed.

The modules, lowest layer first: `virtual_time`, `host`; `process_loop`; `tcp_segment`, `tcp_stream`,
`tcp_endpoint`, `stream_transport`, `simulated_socket`, `tcp_connection`; `network`, `patched_modules`,
`disk`; `machine`; `caller`, `operators`, `clients`, `platform`; `simulated_system`; `faults`,
`fault_schedule`, checkers; `simulation_run`, `script`, `seed_runner`.
"""
