"""The steward on the platform: `python -m corallanding.node`. `service` wires it up."""
