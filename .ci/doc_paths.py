"""Checks that the source files that a page names exist.

Usage: doc_paths.py ROOT PAGE...

A path is text in backticks with a slash that ends in `.rs`, or a folder that ends in `/src`. It is relative to `crates`.
Prints one line for each path that does not exist, and ends with status 1 if there is any.
"""

import pathlib
import re
import sys

SOURCE_PATH = re.compile(r"`([\w-]+/[\w/-]+\.rs|[\w-]+/src)`")


def missing_paths(root, page):
    """Returns the paths in the text of a page that do not exist below `crates`."""
    crates = root / "crates"
    return [path for path in SOURCE_PATH.findall(page) if not (crates / path).exists()]


def main(arguments):
    """Checks all pages. Returns the exit status."""
    root = pathlib.Path(arguments[0])
    has_missing = False
    for name in arguments[1:]:
        for path in missing_paths(root, (root / name).read_text(encoding="utf-8")):
            print(f"{name}: crates/{path} does not exist")
            has_missing = True
    return 1 if has_missing else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
