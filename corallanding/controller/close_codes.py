"""The codes with which a proxy's connection is closed."""

from __future__ import annotations

from enum import StrEnum


class CloseCode(StrEnum):
    """Why a proxy's connection is closed: sent in its last frame, and the label of the metric that counts these.

    The values are frozen. Every `code` of `wire.errors.LinkError` and its subclasses is among them.
    """

    # The proxy broke the protocol.
    PROTOCOL = "protocol"
    MALFORMED = "malformed"
    OVERSIZED = "oversized"
    OUT_OF_PLACE = "out-of-place"
    UNKNOWN_VERSION = "unknown-version"

    # The connection cannot be had.
    FULL = "full"  # too many connections, or a proxy number over the limit
    NUMBER_IN_USE = "number-in-use"  # another process has the proxy's number
    SUPERSEDED = "superseded"  # the same proxy process joined again, on a new connection

    # The proxy is too slow, or is not heard of.
    NO_HELLO = "no-hello"
    NO_ACKS = "no-acks"
    OVERRUN = "overrun"  # its queue in the channel is full
    NOT_READING = "not-reading"  # its socket takes no more
    SILENT = "silent"

    # One side ends the connection.
    BYE = "bye"  # the proxy said goodbye
    STOPPING = "stopping"  # the controller stops

    # The connection ended without a last frame: labels of the metric only.
    CLOSED = "closed"
    BROKEN = "broken"
