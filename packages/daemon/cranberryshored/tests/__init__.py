"""Tests of the daemon's top-level modules."""
