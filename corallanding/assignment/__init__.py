"""All decisions of a controller: which host each slice is assigned to, and when it moves (`docs/design.md`).

`Assigner` is the public interface: it takes events and returns actions. Only the standard library is used.
"""

from .assigner import Assigner

__all__ = ["Assigner"]
