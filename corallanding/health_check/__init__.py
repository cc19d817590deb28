"""Probes of hosts over HTTP (`prober`): bounded in flight, every way that one can end."""
