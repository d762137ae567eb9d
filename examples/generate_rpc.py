"""Generates the gRPC code from proto/chivehold.proto, or checks that it is up to date."""

import sys
import tempfile
from pathlib import Path

import grpc_tools
from grpc_tools import protoc

ROOT = Path(__file__).resolve().parent.parent
SCHEMA = ROOT / "proto" / "chivehold.proto"
TARGET = ROOT / "src" / "chivehold" / "rpc"
GENERATED = ("chivehold_pb2.py", "chivehold_pb2.pyi", "chivehold_pb2_grpc.py")


def generate(directory: Path) -> None:
    """Write the generated modules into a directory."""
    well_known = Path(grpc_tools.__file__).parent / "_proto"
    arguments = [
        "protoc",
        f"-I{SCHEMA.parent}",
        f"-I{well_known}",
        f"--python_out={directory}",
        f"--pyi_out={directory}",
        f"--grpc_python_out={directory}",
        str(SCHEMA),
    ]
    if protoc.main(arguments) != 0:
        raise SystemExit("protoc failed")
    stub = directory / "chivehold_pb2_grpc.py"
    text = stub.read_text().replace(
        "import chivehold_pb2 as", "from chivehold.rpc import chivehold_pb2 as"
    )
    stub.write_text(text)


def stale_modules() -> list[str]:
    """Return the names of committed modules that differ from freshly generated ones."""
    with tempfile.TemporaryDirectory() as temporary_directory:
        regenerated = Path(temporary_directory)
        generate(regenerated)
        return [
            name
            for name in GENERATED
            if not (TARGET / name).exists()
            or (regenerated / name).read_bytes() != (TARGET / name).read_bytes()
        ]


def main() -> None:
    if "--check" not in sys.argv:
        generate(TARGET)
        return
    names = stale_modules()
    if names:
        raise SystemExit(f"stale generated code, run `make proto`: {', '.join(names)}")


if __name__ == "__main__":
    main()
