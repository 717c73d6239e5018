"""Simulated deployments under random faults in virtual time, and checks of the invariants."""
