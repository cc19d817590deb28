"""Client of the platform's discovery service: answers as events (`host_list`, no I/O), long polls (`long_poll`)."""
