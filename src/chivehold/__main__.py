"""Entry point of ``python -m chivehold``."""

import sys

from chivehold.cli import main

sys.exit(main())
