"""Leader election by majority vote, and task leases that the leader grants with fencing tokens.

Performs no I/O. See docs/leases.md.
"""
