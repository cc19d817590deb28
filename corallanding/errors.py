"""The root of every error that this project raises, and its main branches.

Each package derives its own errors from one of the branches, beside the code that raises them. An error states what
failed and on which object, and carries as attributes whatever a handler needs: no handler parses the text.
"""

from __future__ import annotations


class CorallandingError(Exception):
    """Base class of all errors raised by this project."""


class ConfigurationError(CorallandingError):
    """A configuration, a scenario or a command cannot be used as given. The text names the file and the key."""


class ProtocolError(CorallandingError):
    """A peer sent a message that the protocol does not allow."""


class StorageError(CorallandingError):
    """Stored data cannot be read or written."""


class ConnectionLostError(CorallandingError):
    """A service that this process depends on does not answer, or closed the connection."""


class LeaseLostError(CorallandingError):
    """Another controller may hold the lease that an action needs: the action was not carried out."""


class HandoverError(CorallandingError):
    """A running controller could not hand over to its successor process."""


class CapacityError(CorallandingError):
    """A bounded queue or table is full."""
