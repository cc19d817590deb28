"""The fleet emulator: the controller daemon and the lab's stand-ins in simulated time, in one process."""
