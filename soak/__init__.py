"""A randomized soak: real processes on loopback under injected faults."""
