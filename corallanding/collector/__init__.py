"""The platform's listening address: reports from collectors, and heartbeats.

`reports` and `session` are pure; `server` holds the sockets.
"""
