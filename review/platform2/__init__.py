"""Stand-ins of the users' platform for the cases of the second review, and a judge of the users' rules.

Written from the users' pages alone (`PROTOCOL.md`, `DEPLOY.md`, `WIRE-corallanding.md`). Only the standard library is
used, and all addresses are loopback addresses.
"""
