"""The protocol between controllers and proxies, without sockets: frames (`frames`) and the state of a link
(`link_state`)."""
