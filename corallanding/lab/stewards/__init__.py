"""Many stewards together in simulated time, with faults between them; and the audit of what they used."""
