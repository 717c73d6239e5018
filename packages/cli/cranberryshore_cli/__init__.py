"""Command line and client library of cranberryshore."""

from cranberryshore_cli.client import Client, ClientFailure, Failure

__all__ = ["Client", "ClientFailure", "Failure"]
