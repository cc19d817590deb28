"""The exceptions that decoding untrusted JSON may raise."""

from __future__ import annotations

import msgspec

# msgspec raises RecursionError, which is not a DecodeError, for objects nested several hundred levels deep.
JSON_DECODE_ERRORS: tuple[type[Exception], ...] = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
