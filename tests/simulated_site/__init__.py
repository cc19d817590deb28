"""A site in simulated time: controllers with their calls, channels, proxies, hosts and the requests of a day.

Only the assigner and the queue of calls to the relay are the product's own; everything else is a model. A day of half a
minute takes seconds, and is the same for the same seed.
"""
