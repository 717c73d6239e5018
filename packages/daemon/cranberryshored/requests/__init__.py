"""Requests to declared services."""

from cranberryshored.requests.forwarder import (
    Forwarded,
    Forwarder,
    ForwardFailure,
    HttpForwarder,
    IncomingRequest,
)
from cranberryshored.requests.service import RequestService

__all__ = [
    "ForwardFailure",
    "Forwarded",
    "Forwarder",
    "HttpForwarder",
    "IncomingRequest",
    "RequestService",
]
