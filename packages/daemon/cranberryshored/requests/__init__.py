"""Requests to declared services."""

from cranberryshored.requests.forwarder import Forwarded, Forwarder, ForwardFailure, IncomingRequest
from cranberryshored.requests.service import RequestService

__all__ = ["ForwardFailure", "Forwarded", "Forwarder", "IncomingRequest", "RequestService"]
