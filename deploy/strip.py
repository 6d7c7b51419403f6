"""Compiles modules without docstrings and assertions to the usual cache files.

Most of a gateway's memory is the code of its libraries. Without their
docstrings it is smaller, and the process starts faster. The option ``-OO``
would do the same, but most machines have no standard library compiled for it.
"""

import importlib.util
import pathlib
import py_compile
import sys


def main(folders: list[str]) -> None:
    """Compiles all modules below the given folders.

    Args:
        folders: Folders to search.
    """
    for folder in folders:
        for source in pathlib.Path(folder).rglob("*.py"):
            cache_path = importlib.util.cache_from_source(str(source))
            try:
                py_compile.compile(
                    str(source), cfile=cache_path, doraise=True, optimize=2
                )
            except py_compile.PyCompileError as error:
                # Templates and tests in libraries may be invalid Python.
                print(error.exc_value, file=sys.stderr)


if __name__ == "__main__":
    main(sys.argv[1:])
