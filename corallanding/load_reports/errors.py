"""Errors of load reports."""

from __future__ import annotations

from ..errors import ProtocolError


class InvalidReportError(ProtocolError):
    """Bytes are not a load report, or a value is out of bounds. The message states which."""
