"""The command `corallanding`."""
