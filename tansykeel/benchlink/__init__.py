"""The adapter between the scheduler and the simulator's wire protocol."""
