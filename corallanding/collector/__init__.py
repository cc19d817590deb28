"""The listening address of the platform controller: reports from collectors, and heartbeats.

`reports` and `session` are pure; `server` holds the sockets.
"""
