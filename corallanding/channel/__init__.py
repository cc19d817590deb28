"""The rate-limited, bounded queue of messages from a controller to its proxies."""

from .channel import Channel
from .limits import ChannelLimits, QueueFullError

__all__ = ["Channel", "ChannelLimits", "QueueFullError"]
