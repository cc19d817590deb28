"""The adapter between the simulator's wire and the assigner. It decides nothing."""
