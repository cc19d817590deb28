"""The way from the steward to its forwarders: paced, counted, capped (`core`)."""

from .core import Channel, Limits, Overrun

__all__ = ["Channel", "Limits", "Overrun"]
