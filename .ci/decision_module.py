#!/usr/bin/env python3
"""Checks what makes the decision module one module that the platform can account for.

    decision_module.py DEPLOY_FILE PACKAGE_FOLDER DEPENDENCY...

- `policy` in the deploy file names exactly the package's source files; a folder stands for all files in it. Tests,
  that is `tests.rs` and folders called `tests`, do not count.
- The package does no I/O: its sources use nothing of the operating system, no clock and no output, and none of the
  DEPENDENCY names (all packages that it is built from) does either.
- No line is longer than 110 characters, comments included, which the formatter leaves alone.
"""

import re
import sys
import tomllib
from pathlib import Path

LONGEST_LINE = 110
IO_MODULES = "env|fs|io|net|os|process|thread|time"
IO_CRATES = {"async-std", "gateway", "hyper", "libc", "mio", "resp", "runtime", "rustix", "smol", "socket2", "tokio"}
IO_USES = re.compile(
    rf"""\bstd::(?:{IO_MODULES})\b|\bstd::\{{[^;]*?\b(?:{IO_MODULES})\b|\b(?:e?print(?:ln)?|dbg)!
    |\b(?:{"|".join(name.replace("-", "_") for name in sorted(IO_CRATES))})::""",
    re.X,
)
COMMENT_OR_TEXT = re.compile(r"""//[^\n]*|/\*.*?\*/|"(?:\\.|[^"\\])*\"""", re.S)


def sources(folder):
    """The source files below a folder that are no tests."""
    for path in sorted(folder.rglob("*.rs")):
        if path.name != "tests.rs" and "tests" not in path.relative_to(folder).parts:
            yield path


def named(deploy_file):
    """The files that `policy` names, relative to the root that the deploy file's folder stands in."""
    root = deploy_file.parent.parent
    for entry in tomllib.loads(deploy_file.read_text())["policy"]:
        path = root / entry
        yield from sources(path) if path.is_dir() else [path]


def io_uses(source):
    """Each use of I/O in a source, with its line."""
    code = COMMENT_OR_TEXT.sub(lambda match: "\n" * match[0].count("\n"), source)
    for match in IO_USES.finditer(code):
        yield code.count("\n", 0, match.start()) + 1, " ".join(match[0].split())


def found(deploy_file, package, dependencies):
    """What is wrong, in lines; none: all is as it has to be."""
    files, listed = set(sources(package / "src")), list(named(deploy_file))
    lines = [f"{deploy_file}: `policy` names {path} twice" for path in sorted(set(listed)) if listed.count(path) > 1]
    lines += [f"{deploy_file}: `policy` does not name {path}" for path in sorted(files - set(listed))]
    lines += [f"{deploy_file}: `policy` names {path}, which is no source of {package}" for path in sorted(set(listed) - files)]
    for path in sorted(files):
        source = path.read_text()
        lines += [f"{path}:{number}: `{use}` does I/O" for number, use in io_uses(source)]
        for number, line in enumerate(source.splitlines(), 1):
            if len(line) > LONGEST_LINE:
                lines.append(f"{path}:{number}: {len(line)} characters (at most {LONGEST_LINE})")
    lines += [f"{package}: depends on {name}, which does I/O" for name in sorted(IO_CRATES & set(dependencies))]
    return lines


def main(words):
    if len(words) < 3:
        print("usage: decision_module.py DEPLOY_FILE PACKAGE_FOLDER DEPENDENCY...")
        return 2
    deploy_file, package = Path(words[0]), Path(words[1])
    lines = found(deploy_file, package, words[2:])
    for line in lines:
        print(line)
    print(f"decision module: {len(list(sources(package / 'src')))} files, {len(lines)} faults")
    return 1 if lines else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
