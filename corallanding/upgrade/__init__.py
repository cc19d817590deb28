"""Hands a running controller to a new process: who controls when (`state_machine`), and the pipe between them."""
