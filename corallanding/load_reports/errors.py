"""Errors of load reports."""

from __future__ import annotations

from ..errors import ProtocolError


class InvalidReportError(ProtocolError):
    """Bytes that are no report, or a figure outside its bounds. The text says which."""
