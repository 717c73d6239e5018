"""The HTTP interface for callers and operators."""

from cranberryshored.web.server import Web, WebServer

__all__ = ["Web", "WebServer"]
