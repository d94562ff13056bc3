"""Deterministic simulation: virtual time, network, disks, faults drawn from a seed, histories, checkers."""
