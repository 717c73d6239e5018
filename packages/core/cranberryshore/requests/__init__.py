"""Requests to declared services: admission, queueing and choice of the upstream."""

from cranberryshore.requests.gate import GateSettings, RequestGate, Ticket, TicketDecided

__all__ = ["GateSettings", "RequestGate", "Ticket", "TicketDecided"]
