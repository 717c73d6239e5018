"""Tests of the peer messages."""
