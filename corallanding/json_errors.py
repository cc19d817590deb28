"""What reading JSON may raise on bytes that are none, or none that we read."""

from __future__ import annotations

import msgspec

# The last one is msgspec's word on objects nested some hundreds deep: no DecodeError, and no fault of ours either.
UNREADABLE: tuple[type[Exception], ...] = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
