"""Durable tables of one controller: the interface that it writes through, and the embedded store (`sqlite`)."""

from .api import Store, StoreContents, StoreError, StoreLockedError, TableEntry
from .sqlite import SqliteStore

__all__ = ["SqliteStore", "Store", "StoreContents", "StoreError", "StoreLockedError", "TableEntry"]
