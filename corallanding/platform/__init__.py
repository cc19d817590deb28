"""The steward on the platform: `python -m corallanding.platform`. `service` wires it up."""
