"""A client of a replicated key-value registry: reads hosts from it, and leases slices and stores their tables in it.

Modules without I/O: `watch_state` (keeps a copy of a prefix consistent across disconnections and compactions) and
`slice_ownership` (which controller owns which slice). Modules with I/O: `etcd` (the etcd v3 API), `consul` (blocking
queries), `watcher`, `table_store` and `source`.
"""
