"""Generates Python code from the proto file: `python heatherhead/operators/generate.py`.

It is run by its path and not with `-m`, because importing the package needs the generated code.
"""

from __future__ import annotations

import sys
from pathlib import Path

__all__ = ["GENERATED_FILES", "generate"]

PROTO_FILE = "heatherhead/operators/heatherhead.proto"
GENERATED_FILES = (
    "heatherhead/operators/heatherhead_grpc.py",
    "heatherhead/operators/heatherhead_pb2.py",
)

_ROOT = Path(__file__).parents[2]
_PLUGIN = "protoc-gen-grpclib_python"


def generate(directory: Path) -> None:
    """Write the generated files into a directory, below the path of their package.

    Raises `ImportError` without grpcio-tools, and `RuntimeError` if the compiler fails.
    """
    from grpc_tools import protoc

    arguments = [
        "protoc",
        f"--proto_path={_ROOT}",
        f"--proto_path={Path(protoc.__file__).parent / '_proto'}",
        f"--plugin={_PLUGIN}={Path(sys.executable).parent / _PLUGIN}",
        f"--python_out={directory}",
        f"--grpclib_python_out={directory}",
        PROTO_FILE,
    ]
    if protoc.main(arguments) != 0:
        raise RuntimeError("protoc failed; its error message is printed above")


if __name__ == "__main__":
    generate(_ROOT)
