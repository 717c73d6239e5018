"""Randomized soak: real daemons as processes, under faults injected from outside them."""
