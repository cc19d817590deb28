"""The root of every error that this project raises, and its main branches.

Each package derives its own errors from one of the branches, beside the code that raises them. An error says what went
wrong and with what, and carries as attributes whatever a handler needs: no handler reads the text.
"""

from __future__ import annotations


class CorallandingError(Exception):
    """Base class of all errors raised by this project."""


class ConfigurationError(CorallandingError):
    """A configuration, a scenario or a command cannot be used as given. The text names the file and the key."""


class ProtocolError(CorallandingError):
    """A peer sent what the protocol between it and us does not allow."""


class StorageError(CorallandingError):
    """Stored data cannot be read or written."""


class ConnectionLostError(CorallandingError):
    """A service that we depend on does not answer, or closed the connection."""


class LeaseLostError(CorallandingError):
    """Another controller may hold what this one acted on: the action was not carried out."""


class HandoverError(CorallandingError):
    """A running controller could not be handed to its successor process."""


class CapacityError(CorallandingError):
    """A bounded queue or table is full."""
