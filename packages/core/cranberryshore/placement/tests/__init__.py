"""Tests of capacity sharing and worker health."""
