"""The gRPC interface for operators: its server and its client."""

from heatherhead.operators.parts import DaemonParts
from heatherhead.operators.server import OperatorsServer, create_operators_server

__all__ = ["DaemonParts", "OperatorsServer", "create_operators_server"]
