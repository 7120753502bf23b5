#!/usr/bin/env python3
"""Looks for names of one deployment in what every deployment runs.

    deployment_names.py DEPLOY_FOLDER PACKAGE_FOLDER...

Names of classes, plans, zones and machines stand in DEPLOY_FOLDER/example.json and DEPLOY_FOLDER/sites/*.toml (there
may be none of these). They come to a program with its settings: none may stand in a text of its sources, comments and
tests aside, nor anywhere in DEPLOY_FOLDER/balancer.toml.
"""

import json
import re
import sys
import tomllib
from pathlib import Path

# Comments, characters and lifetimes are told from texts, of which the last two groups are the inside.
TOKENS = re.compile(
    r"""//[^\n]*|/\*.*?\*/|'(?:\\.|[^'\\])'|\bb?r(?P<hashes>\#*)"(?P<raw>.*?)"(?P=hashes)|"(?P<text>(?:\\.|[^"\\])*)\"""",
    re.S,
)
TESTS_INSIDE = re.compile(r"^#\[cfg\(test\)\]\s*mod \w+ \{", re.M)


def of_example(document):
    settings = document["settings"]
    named = [entry["name"] for key in ("services", "tariffs") for entry in settings[key]]
    return {*named, *settings["localities"], *settings["machine-types"]}


def of_site(site):
    kinds = [kind for tier in site.get("tier", []) for kind in tier.get("kind", [])]
    named = [entry["name"] for entry in [*site.get("class", []), *site.get("tenant", []), *kinds]]
    return {site["name"], *named, *site.get("net", {}).get("zones", [])}


def names(deploy):
    """All names of deployments that the folder tells of."""
    found = of_example(json.loads((deploy / "example.json").read_text()))
    for path in sorted(deploy.glob("sites/*.toml")):
        found |= of_site(tomllib.loads(path.read_text()))
    return found


def texts(source):
    """What stands between quotes in a source, with its line; tests at its end aside."""
    if match := TESTS_INSIDE.search(source):
        source = source[: match.start()]
    for match in TOKENS.finditer(source):
        text = match["raw"] if match["raw"] is not None else match["text"]
        if text is not None:
            yield source.count("\n", 0, match.start()) + 1, text


def is_said(name, text):
    """Whether a text of a program speaks of a name. A plain word (`fill`, `standard`) may mean something else inside
    a sentence, so it counts only where it is all of the text, or quoted in it."""
    quoted = re.search(rf"""^{re.escape(name)}$|["'`=]{re.escape(name)}(?:["'`,\\]|$)""", text)
    return bool(quoted) or (not name.isalpha() and is_word(name, text))


def is_word(name, text):
    return bool(re.search(rf"(?<![\w-]){re.escape(name)}(?![\w-])", text))


def sources(package):
    """The sources of a package that are no tests."""
    for path in sorted((package / "src").rglob("*.rs")):
        if path.name != "tests.rs" and "tests" not in path.relative_to(package).parts:
            yield path


def found(deploy, packages):
    """Each place where a name stands, as a line."""
    all_names = sorted(names(deploy))
    lines = []
    for path in (path for package in packages for path in sources(package)):
        for number, text in texts(path.read_text()):
            lines += [f"{path}:{number}: `{name}`" for name in all_names if is_said(name, text)]
    for number, line in enumerate((deploy / "balancer.toml").read_text().splitlines(), 1):
        lines += [f"{deploy / 'balancer.toml'}:{number}: `{name}`" for name in all_names if is_word(name, line)]
    return lines


def main(words):
    lines = found(Path(words[0]), [Path(word) for word in words[1:]])
    for line in lines:
        print(f"{line} is a name of one deployment")
    print(f"names of deployments: {len(lines)} in {len(words) - 1} packages and the deploy file")
    return 1 if lines or len(words) < 2 else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
