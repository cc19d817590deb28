"""The codes for closing a proxy's connection."""

from __future__ import annotations

from enum import StrEnum


class CloseCode(StrEnum):
    """The reason for closing a proxy's connection: sent in its last frame, and a label of the metric `links_closed`.

    The values must not change. They include every `code` of `wire.errors.LinkError` and its subclasses.
    """

    # The proxy broke the protocol.
    PROTOCOL = "protocol"
    MALFORMED = "malformed"
    OVERSIZED = "oversized"
    OUT_OF_PLACE = "out-of-place"
    UNKNOWN_VERSION = "unknown-version"

    # The connection is not accepted.
    FULL = "full"  # too many connections, or a proxy number over the limit
    NUMBER_IN_USE = "number-in-use"  # another process uses the proxy's number
    SUPERSEDED = "superseded"  # the same proxy process joined again, on a new connection

    # The proxy is too slow or silent.
    NO_HELLO = "no-hello"
    NO_ACKS = "no-acks"
    OVERRUN = "overrun"  # the queue of the proxy in the channel is full
    NOT_READING = "not-reading"  # the socket buffer of the proxy is full
    SILENT = "silent"

    # One side ends the connection.
    BYE = "bye"  # the proxy sent a Goodbye
    STOPPING = "stopping"  # the controller is stopping

    # The connection ended without a last frame; these are metric labels only.
    CLOSED = "closed"
    BROKEN = "broken"
