"""The lab: a stand-in fleet, an open-loop load generator, scheduled faults, and a judge of the four rules."""
