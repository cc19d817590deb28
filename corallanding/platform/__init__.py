"""The controller deployed on the platform: `python -m corallanding.platform`. `service` connects its components."""
