"""The platform's relay: table orders go out as calls, and a watch says what is in force.

`orders`, `channel`, `pending_calls` and `subscription` are pure; `line_protocol`, `call_connection` and
`subscription_connection` hold the sockets.
"""
