"""Scheduling of jobs that may wait: one order by aging priority at all controllers. See `docs/waiting.md`.

Pure state machines: callers bring the clock, the messages and the quota.
"""
