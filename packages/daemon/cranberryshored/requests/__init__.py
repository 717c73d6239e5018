"""Admission and forwarding of requests to declared services."""

from cranberryshored.requests.forwarder import (
    Forwarder,
    ForwardFailure,
    HttpForwarder,
    IncomingRequest,
    UpstreamResponse,
)
from cranberryshored.requests.service import RequestService

__all__ = [
    "ForwardFailure",
    "UpstreamResponse",
    "Forwarder",
    "HttpForwarder",
    "IncomingRequest",
    "RequestService",
]
