"""The HTTP interface for callers and operators."""

from cranberryshored.web.server import WebServer

__all__ = ["WebServer"]
