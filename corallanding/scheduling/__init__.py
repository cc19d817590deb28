"""Work that may wait: who goes next, alike at every steward. Pure. See docs/waiting.md."""
