"""Records that are written once: kept by a majority of stewards, written by the holder of their group. Pure. See
docs/pins.md."""
