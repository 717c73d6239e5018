"""Configuration: replicating it from the store, applying it, and accepting changes."""

from cranberryshored.config.applier import ConfigApplier
from cranberryshored.config.confirmer import ConfigConfirmer
from cranberryshored.config.editor import ConfigEditor
from cranberryshored.config.follower import ConfigFollower

__all__ = ["ConfigApplier", "ConfigConfirmer", "ConfigEditor", "ConfigFollower"]
