"""Import modules of the platform adapter, whose folder is not a package."""

import importlib
import pathlib
import sys

FOLDER = pathlib.Path(__file__).parent.parent / "platform"


def load(name):
    """Import a module of the platform adapter by name."""
    if str(FOLDER) not in sys.path:
        sys.path.append(str(FOLDER))
    return importlib.import_module(name)
