"""Health checks of hosts over HTTP, limited in number and time (`checker`)."""
