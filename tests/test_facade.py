"""The package's public names."""

import subprocess
import sys

import chivehold


class TestFacade:
    def test_every_name_loads(self) -> None:
        """Each public name can be imported and refers to an object of that name."""
        for name in chivehold.__all__:
            assert getattr(chivehold, name).__name__ == name

    def test_core_alone_loads_no_network_code(self) -> None:
        """Importing the core loads none of trio, gRPC and httpcore."""
        program = (
            "import sys, chivehold; chivehold.EntryCore, chivehold.SidecarCore;"
            "sys.exit(not {'trio', 'grpc', 'httpcore'}.isdisjoint(sys.modules))"
        )
        assert subprocess.run([sys.executable, "-c", program], check=False).returncode == 0
