#!/usr/bin/env python3
"""Checks that programs and the deploy file contain no names of a particular deployment.

    deployment_names.py DEPLOY_FOLDER PACKAGE_FOLDER...

DEPLOY_FOLDER/example.json and DEPLOY_FOLDER/sites/*.toml (which may not exist) define names of classes, plans, zones and
machines. A program gets them from its settings: no string literal of its sources may contain one, except in tests, nor may
DEPLOY_FOLDER/balancer.toml.
"""

import json
import re
import sys
import tomllib
from pathlib import Path

# Matches comments, character literals and string literals; the groups `raw` and `text` are the contents of a string.
TOKENS = re.compile(
    r"""//[^\n]*|/\*.*?\*/|'(?:\\.|[^'\\])'|\bb?r(?P<hashes>\#*)"(?P<raw>.*?)"(?P=hashes)|"(?P<text>(?:\\.|[^"\\])*)\"""",
    re.S,
)
TEST_MODULE = re.compile(r"^#\[cfg\(test\)\]\s*mod \w+ \{", re.M)


def names_in_example(document):
    settings = document["settings"]
    named = [entry["name"] for key in ("services", "tariffs") for entry in settings[key]]
    return {*named, *settings["localities"], *settings["machine-types"]}


def names_in_site(site):
    kinds = [kind for tier in site.get("tier", []) for kind in tier.get("kind", [])]
    named = [entry["name"] for entry in [*site.get("class", []), *site.get("tenant", []), *kinds]]
    return {site["name"], *named, *site.get("net", {}).get("zones", [])}


def deployment_names(deploy):
    """Returns all names that the files of the deploy folder define."""
    names = names_in_example(json.loads((deploy / "example.json").read_text()))
    for path in sorted(deploy.glob("sites/*.toml")):
        names |= names_in_site(tomllib.loads(path.read_text()))
    return names


def string_literals(source):
    """Yields the line number and contents of each string literal of a source, up to a test module at its end."""
    if match := TEST_MODULE.search(source):
        source = source[: match.start()]
    for match in TOKENS.finditer(source):
        text = match["raw"] if match["raw"] is not None else match["text"]
        if text is not None:
            yield source.count("\n", 0, match.start()) + 1, text


def is_mentioned(name, text):
    """Returns whether a string of a program mentions a name. A plain word (`fill`, `standard`) may mean something else in a
    sentence, so it counts only if it is the complete string, or quoted in it."""
    quoted = re.search(rf"""^{re.escape(name)}$|["'`=]{re.escape(name)}(?:["'`,\\]|$)""", text)
    return bool(quoted) or (not name.isalpha() and contains_word(name, text))


def contains_word(name, text):
    return bool(re.search(rf"(?<![\w-]){re.escape(name)}(?![\w-])", text))


def source_files(package):
    """Yields the source files of a package, without tests."""
    for path in sorted((package / "src").rglob("*.rs")):
        if path.name != "tests.rs" and "tests" not in path.relative_to(package).parts:
            yield path


def occurrences(deploy, packages):
    """Returns each occurrence of a name as a line of text."""
    all_names = sorted(deployment_names(deploy))
    lines = []
    for path in (path for package in packages for path in source_files(package)):
        for number, text in string_literals(path.read_text()):
            lines += [f"{path}:{number}: `{name}`" for name in all_names if is_mentioned(name, text)]
    for number, line in enumerate((deploy / "balancer.toml").read_text().splitlines(), 1):
        lines += [f"{deploy / 'balancer.toml'}:{number}: `{name}`" for name in all_names if contains_word(name, line)]
    return lines


def main(arguments):
    lines = occurrences(Path(arguments[0]), [Path(argument) for argument in arguments[1:]])
    for line in lines:
        print(f"{line} is a name of a particular deployment")
    print(f"names of deployments: {len(lines)} in {len(arguments) - 1} packages and the deploy file")
    return 1 if lines or len(arguments) < 2 else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
