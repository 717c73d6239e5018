"""Stand-ins for the platform, used only by tests, demonstration and benchmark."""
