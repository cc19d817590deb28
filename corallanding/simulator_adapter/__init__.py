"""The adapter between the simulator's wire protocol and the assigner. It contains no decision logic."""
