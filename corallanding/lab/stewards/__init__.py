"""Several controllers in simulated time with faults between them, and the input of their audits."""
