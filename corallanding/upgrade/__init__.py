"""Handing a running steward to a new process: who owns what when (`core`), what goes over (`state`), how (`pipe`)."""
