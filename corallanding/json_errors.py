"""The exceptions that decoding untrusted JSON may raise."""

from __future__ import annotations

import msgspec

# msgspec raises RecursionError, which is no DecodeError, for objects that are nested some hundreds deep.
JSON_DECODE_ERRORS: tuple[type[Exception], ...] = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
