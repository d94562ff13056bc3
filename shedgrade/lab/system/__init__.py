"""The whole system among stand-ins on loopback: real processes of both programs, everybody else played here.

Source: the operators' PROTOCOL, RULES and DEPLOY. Nothing that serves imports it.
"""
