"""Handing a running steward to a new process: who owns what when (`core`), and how it goes over (`pipe`)."""
