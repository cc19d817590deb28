"""Scheduling of deferrable jobs in one order at all controllers, by priority aging. See `docs/waiting.md`.

Pure state machines: callers supply the clock, the messages and the quota.
"""
