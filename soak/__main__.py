"""Run the soak: ``python -m soak``."""

import sys

from soak import commands

if __name__ == "__main__":
    sys.exit(commands.main())
