"""HTTP interface for callers and operators."""

from cranberryshored.web.server import HttpServer, WebServer

__all__ = ["HttpServer", "WebServer"]
