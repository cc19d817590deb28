"""The controller's protocols without I/O: frames to and from proxies (`frames`), the state of a link (`link_state`),
and messages between controllers (`peer_messages`)."""
