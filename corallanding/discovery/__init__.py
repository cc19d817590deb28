"""The platform's discovery service: its answers as events (`host_list`, pure), and long polls (`long_poll`)."""
