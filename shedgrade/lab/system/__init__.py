"""Runs the whole system on loopback: real processes of both programs, and stand-ins for every other party.

Sources: the operators' PROTOCOL, RULES and DEPLOY. Neither program imports this package.
"""
