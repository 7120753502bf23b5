#!/usr/bin/env python3
"""Checks the conditions under which the platform accepts a package as the decision module.

    decision_module.py DEPLOY_FILE PACKAGE_FOLDER DEPENDENCY...

- `policy` in the deploy file lists exactly the package's source files; a folder includes all files in it. Tests, that is
  `tests.rs` and folders named `tests`, are not source files.
- The package does no I/O: its sources use no operating system interface, no clock and no output, and none of the
  DEPENDENCY arguments (all packages that it depends on) does I/O.
- No line is longer than 110 characters, including comments, which the formatter does not wrap.
"""

import re
import sys
import tomllib
from pathlib import Path

MAX_LINE_LENGTH = 110
IO_MODULES = "env|fs|io|net|os|process|thread|time"
IO_CRATES = {"async-std", "gateway", "hyper", "libc", "mio", "resp", "runtime", "rustix", "smol", "socket2", "tokio"}
IO_USES = re.compile(
    rf"""\bstd::(?:{IO_MODULES})\b|\bstd::\{{[^;]*?\b(?:{IO_MODULES})\b|\b(?:e?print(?:ln)?|dbg)!
    |\b(?:{"|".join(name.replace("-", "_") for name in sorted(IO_CRATES))})::""",
    re.X,
)
COMMENT_OR_STRING = re.compile(r"""//[^\n]*|/\*.*?\*/|"(?:\\.|[^"\\])*\"""", re.S)


def source_files(folder):
    """Yields the source files below a folder, without tests."""
    for path in sorted(folder.rglob("*.rs")):
        if path.name != "tests.rs" and "tests" not in path.relative_to(folder).parts:
            yield path


def listed_files(deploy_file):
    """Yields the files that `policy` lists; its paths are relative to the parent of the deploy file's folder."""
    root = deploy_file.parent.parent
    for entry in tomllib.loads(deploy_file.read_text())["policy"]:
        path = root / entry
        yield from source_files(path) if path.is_dir() else [path]


def io_uses(source):
    """Yields each use of I/O in a source as line number and text."""
    code = COMMENT_OR_STRING.sub(lambda match: "\n" * match[0].count("\n"), source)
    for match in IO_USES.finditer(code):
        yield code.count("\n", 0, match.start()) + 1, " ".join(match[0].split())


def problems(deploy_file, package, dependencies):
    """Returns the violated conditions as lines of text."""
    files, listed = set(source_files(package / "src")), list(listed_files(deploy_file))
    lines = [f"{deploy_file}: `policy` lists {path} twice" for path in sorted(set(listed)) if listed.count(path) > 1]
    lines += [f"{deploy_file}: `policy` does not list {path}" for path in sorted(files - set(listed))]
    lines += [f"{deploy_file}: `policy` lists {path}, which is not a source file of {package}" for path in sorted(set(listed) - files)]
    for path in sorted(files):
        source = path.read_text()
        lines += [f"{path}:{number}: `{use}` does I/O" for number, use in io_uses(source)]
        for number, line in enumerate(source.splitlines(), 1):
            if len(line) > MAX_LINE_LENGTH:
                lines.append(f"{path}:{number}: {len(line)} characters (at most {MAX_LINE_LENGTH})")
    lines += [f"{package}: depends on {name}, which does I/O" for name in sorted(IO_CRATES & set(dependencies))]
    return lines


def main(arguments):
    if len(arguments) < 3:
        print("usage: decision_module.py DEPLOY_FILE PACKAGE_FOLDER DEPENDENCY...")
        return 2
    deploy_file, package = Path(arguments[0]), Path(arguments[1])
    lines = problems(deploy_file, package, arguments[2:])
    for line in lines:
        print(line)
    print(f"decision module: {len(list(source_files(package / 'src')))} files, {len(lines)} problems")
    return 1 if lines else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
