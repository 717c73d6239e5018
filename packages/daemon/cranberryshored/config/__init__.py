"""Configuration: following the store and accepting operators' changes."""

from cranberryshored.config.applier import ConfigApplier
from cranberryshored.config.editor import ConfigEditor
from cranberryshored.config.follower import ConfigFollower

__all__ = ["ConfigApplier", "ConfigEditor", "ConfigFollower"]
