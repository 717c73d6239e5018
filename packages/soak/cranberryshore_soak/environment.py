"""What a soak and the processes that it launches agree on."""

OFFSET_VARIABLE = "CRANBERRYSHORE_SOAK_CLOCK_OFFSET"
JUMP_VARIABLE = "CRANBERRYSHORE_SOAK_CLOCK_JUMP"

HANDLERS_REPORT = '{"event": "soak: Signals are handled."}'
"""First line that a process writes."""
