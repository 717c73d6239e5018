"""Domain and decisions of cranberryshore.

Nothing in this package performs input or output. Every decision takes the clock and the random
source as arguments, so that a recorded trace replays exactly.
"""
