"""Version pinning: a workflow run keeps the release set with which it started. See `docs/pins.md`.

Pure state machines: callers supply the clock, the messages and the files.
"""
