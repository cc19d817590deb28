"""The fleet emulator: the daemon, its cores and the lab's stand-ins in simulated time, in one process."""
