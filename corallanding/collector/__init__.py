"""The platform's listening address: collectors' reports come in, strangers go. `core` is pure, `door` holds sockets."""
