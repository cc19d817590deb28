"""The admin server: health, metrics and tables over HTTP, read-only (`http_server`)."""
