"""The platform's relay: orders go out as calls (`calls`), news comes in (`news`), both pure; `link` holds sockets."""
