"""The controller on the users' platform: `python -m corallanding.platform`. `service` connects its parts."""
