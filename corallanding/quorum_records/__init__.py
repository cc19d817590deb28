"""Write-once records replicated to a quorum, written by the lease holder of their group. No I/O. See docs/pins.md."""
