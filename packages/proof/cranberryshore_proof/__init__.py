"""Histories under drawn faults in virtual time, and the checks of what was promised."""
