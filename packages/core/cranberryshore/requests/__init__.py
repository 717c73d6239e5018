"""Requests to declared services: admission, order and choice of the upstream."""

from cranberryshore.requests.gate import GateSettings, RequestGate, Ticket, TicketDecided

__all__ = ["TicketDecided", "GateSettings", "RequestGate", "Ticket"]
