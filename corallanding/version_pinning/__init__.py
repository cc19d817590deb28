"""Version pinning: a workflow run keeps the release set with which it began. See `docs/pins.md`.

Pure state machines: callers bring the clock, the messages and the files.
"""
