"""Load, demonstration and measurements on one machine."""
