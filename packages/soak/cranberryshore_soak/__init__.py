"""Randomized soak test: real daemon processes under faults injected from outside."""
