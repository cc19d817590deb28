"""A replicated key-value registry as the source of hosts and the keeper of charge and tables.

Pure: `sync` (a view that follows a prefix through breaks and compactions), `charge` (who holds which slice). I/O:
`etcd` (the etcd v3 API), `consul` (blocking reads by index), `source` (hosts out of either).
"""
