"""Write-once records on a quorum of replicas, written by the lease holder of their group. No I/O. See docs/pins.md."""
