"""Load generator, demonstration and benchmarks that run on one machine."""
