"""Durable tables: the interface that the steward writes through, and the embedded store (`sqlite`)."""

from .api import Life, Store, StoreFault, StoreHeld
from .sqlite import SqliteStore

__all__ = ["Life", "SqliteStore", "Store", "StoreFault", "StoreHeld"]
