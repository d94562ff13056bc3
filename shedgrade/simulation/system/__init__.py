"""The whole system in virtual time: the real control planes and data planes, over simulated machines.

`simulated_system.SimulatedSystem` holds unmodified `ControlPlane` and `DataPlane` objects, each on an event
loop of its own (`process_loop`) over one virtual time (`virtual_time`), a network of TCP streams and
datagrams (`network`, `tcp_connection`), disks below the programs' own `Store` (`disk`), operators that call
over HTTP (`caller`, `operators`), and a stand-in for the platform's list. The same seed gives the same day,
to the last operation (`History.digest`).

A scripted run does exact things at exact times:

    system = SimulatedSystem(1, SystemParameters(operators=0))
    system.start()
    system.time.at(5.0, system.cores[0].stop)
    system.time.at(9.0, system.cores[0].thaw)
    system.run(until=20.0)

Between two calls of `run` anything may be inspected and changed: `system.cores[0].program` is the
ControlPlane of that moment, `system.primary()` the machine that acts as primary, `system.history` what was
observed.

The modules from the bottom: `virtual_time`, `host`; `process_loop`; `tcp_segment`, `tcp_stream`,
`tcp_endpoint`, `stream_transport`, `simulated_socket`, `tcp_connection`; `network`, `patched_modules`,
`disk`; `machine`; `caller`, `operators`, `clients`, `platform`; `simulated_system`; `faults`,
`fault_schedule`, checkers; `simulation_run`, `script`, `seed_runner`.
"""
