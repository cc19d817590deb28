"""Handover of a running controller to a new process: the state machines of both sides and the pipe between them."""
