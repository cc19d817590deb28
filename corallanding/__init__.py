"""corallanding: controllers that assign each slice of a key space to a host and notify plain proxies."""
