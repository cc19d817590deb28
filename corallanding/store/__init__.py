"""Durable tables: the interface that the steward writes through, and the embedded store (`sqlite`)."""

from .api import Store, StoreContents, StoreError, StoreLockedError
from .sqlite import SqliteStore

__all__ = ["SqliteStore", "Store", "StoreContents", "StoreError", "StoreLockedError"]
