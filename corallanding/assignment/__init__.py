"""Every decision of the steward: which server each slice of work goes to, and when (`docs/design.md`)."""

from .assigner import Assigner

__all__ = ["Assigner"]
