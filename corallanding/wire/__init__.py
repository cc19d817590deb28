"""The forwarder link, without sockets: frames (`frames`) and the steward's side of a link (`link`)."""
