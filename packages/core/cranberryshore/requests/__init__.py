"""Requests to declared services: admission, order and choice of the upstream."""

from cranberryshore.requests.gate import Admitted, GateSettings, RequestGate, Ticket

__all__ = ["Admitted", "GateSettings", "RequestGate", "Ticket"]
