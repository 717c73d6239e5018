"""Stand-ins of the platform, its minions and clients, for the scripts of the review."""
