"""A client of a replicated key-value registry: hosts are read from it, and slices and their tables are leased in it.

Without I/O: `watch_state` (keeps a copy of a prefix true over disconnections and compactions) and `slice_ownership`
(which controller owns which slice). With I/O: `etcd` (the etcd v3 API), `consul` (blocking queries), `watcher`,
`table_store` and `source`.
"""
