"""Import the adapter's scripts, whose folder is no package."""

import importlib
import pathlib
import sys

FOLDER = pathlib.Path(__file__).parent.parent / "platform"


def load(name):
    """Import a module of the adapter."""
    if str(FOLDER) not in sys.path:
        sys.path.append(str(FOLDER))
    return importlib.import_module(name)
