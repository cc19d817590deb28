"""Lists of hosts: the endpoint list (`endpoint_list`, no I/O) and its source in lines of JSON (`source`)."""
