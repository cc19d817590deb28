"""The list of hosts (`endpoint_list`, no I/O) and its source, a stream of JSON lines (`source`)."""
