"""Configuration: following the store and accepting operators' changes."""

from cranberryshored.config.editor import ConfigEditor
from cranberryshored.config.follower import ConfigFollower

__all__ = ["ConfigEditor", "ConfigFollower"]
