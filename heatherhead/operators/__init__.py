"""What operators call: the RPC interface, its server and its client."""

from heatherhead.operators.backend import Backend
from heatherhead.operators.server import OperatorsServer, create_operators_server

__all__ = ["Backend", "OperatorsServer", "create_operators_server"]
