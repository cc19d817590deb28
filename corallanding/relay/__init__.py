"""Client of the platform's relay: sends table orders as calls, and receives the current state through a watch.

`orders`, `channel`, `pending_calls` and `subscription` do no I/O; `line_protocol`, `call_connection` and
`subscription_connection` own the sockets.
"""
