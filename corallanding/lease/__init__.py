"""Leader election by a majority's votes, and leases of tasks that the leader grants with fencing tokens. No input or
output of its own. See docs/leases.md."""
