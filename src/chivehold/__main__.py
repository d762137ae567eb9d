"""Runs the program: ``python -m chivehold``."""

import sys

from chivehold.cli import main

sys.exit(main())
