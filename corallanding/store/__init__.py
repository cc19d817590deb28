"""Durable storage of the tables of one controller: the interface (`api`) and the embedded store (`sqlite`)."""

from .api import Store, StoreContents, StoreError, StoreLockedError, TableEntry
from .sqlite import SqliteStore

__all__ = ["SqliteStore", "Store", "StoreContents", "StoreError", "StoreLockedError", "TableEntry"]
