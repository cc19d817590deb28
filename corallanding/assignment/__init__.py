"""Every decision of a controller: which host takes each slice, and when (`docs/design.md`).

`Assigner` is the whole interface: events go in, actions come out. It uses the standard library alone.
"""

from .assigner import Assigner

__all__ = ["Assigner"]
