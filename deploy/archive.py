"""Writes the archive of the modules that a gateway imports at its start."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PLATFORM_FOLDER = ROOT / "platform"
LIBRARY_FOLDER = ROOT / "target" / "deps"
ARCHIVE_PATH = ROOT / "target" / "modules.archive"


def main() -> None:
    """Imports what a gateway imports, and writes the archive."""
    # The order of the folders is that of a gateway.
    sys.path[:1] = [str(PLATFORM_FOLDER), str(LIBRARY_FOLDER)]
    import egretrock_platform.main
    import module_archive
    from twisted.internet import reactor

    del egretrock_platform, reactor
    sources = {}
    for name, module in list(sys.modules.items()):
        spec = getattr(module, "__spec__", None)
        origin = getattr(spec, "origin", None) or ""
        if origin.endswith(".py"):
            sources[name] = origin
    module_archive.write(str(ARCHIVE_PATH), str(LIBRARY_FOLDER), sources)


if __name__ == "__main__":
    main()
