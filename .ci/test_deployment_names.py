#!/usr/bin/env python3
"""Tests that names of a deployment are found in string literals and the deploy file, and nowhere else."""

import json
import tempfile
import unittest
from pathlib import Path

import deployment_names

EXAMPLE = {
    "settings": {
        "services": [{"name": "price-read"}],
        "tariffs": [{"name": "standard"}],
        "localities": ["building-1"],
        "machine-types": ["std-2core"],
    }
}
SITE = """
name = "hill-yard"
[net]
zones = ["north"]
[[tier]]
name = "tier"
[[tier.kind]]
name = "rack-4c"
[[class]]
name = "fill"
[[tenant]]
name = "retail"
[[trouble]]
name = "slow"
"""


def occurrences(source, balancer="run = 'serve'\n", path="src/lib.rs", site=SITE):
    """Returns the occurrences in a package of one file as pairs of line number and name."""
    with tempfile.TemporaryDirectory() as folder:
        deploy, package = Path(folder) / "deploy", Path(folder) / "package"
        file = package / path
        for directory in [deploy / "sites", file.parent]:
            directory.mkdir(parents=True)
        (deploy / "example.json").write_text(json.dumps(EXAMPLE))
        (deploy / "balancer.toml").write_text(balancer)
        if site:
            (deploy / "sites" / "one.toml").write_text(site)
        file.write_text(source)
        lines = deployment_names.occurrences(deploy, [package])
    return [(line.rsplit(":", 2)[1], line.split("`")[1]) for line in lines]


class Names(unittest.TestCase):
    def test_finds_all_kinds_of_names_with_their_line(self):
        names = ["building-1", "fill", "hill-yard", "north", "price-read", "rack-4c", "retail", "standard", "std-2core"]
        for name in names:
            self.assertEqual(occurrences(f'fn f() {{\n  g("{name}");\n}}\n'), [("2", name)])
            self.assertEqual(occurrences("", f"build = 'b'\nrun = 'serve {name}'\n"), [("2", name)])
        self.assertEqual(occurrences('f("slow"); f("tier")'), [], "neither a class, a plan, a zone nor a machine")

    def test_finds_names_of_the_example_without_site_files(self):
        self.assertEqual(occurrences('f("fill"); f("price-read")', site=""), [("1", "price-read")])

    def test_finds_names_in_string_literals_only(self):
        for source, names in [
            ('r#"c=price-read,t=x"#', ["price-read"]),
            ('b"price-read"', ["price-read"]),
            ('f(\'"\', "fill")', ["fill"]),
            ("fn f<'a>(x: &'a str) { g(\"fill\") }", ["fill"]),
            ('"c=fill,t=retail,d=1"', ["fill", "retail"]),
            ('"say \\"fill\\""', ["fill"]),
            ('"http://x"; f("fill")', ["fill"]),
            ('"\\"" ; f("fill")', ["fill"]),
            ('"the aim of price-read, in ms"', ["price-read"]),
            # Not found: a plain word in a sentence, parts of longer names, comments, code.
            ('"standard error, fill it up"', []),
            ('"price-reader pre-price-read"', []),
            ('// "fill"\n/* "fill"\n "price-read" */', []),
            ("let fill = retail;", []),
        ]:
            with self.subTest(source):
                self.assertEqual([name for _, name in occurrences(source)], names)

    def test_ignores_names_in_tests(self):
        with_test_module = 'f("fill");\n#[cfg(test)]\nmod tests {\n  f("price-read");\n}\n'
        for source, path, names in [
            (with_test_module, "src/lib.rs", ["fill"]),
            ('"fill"', "src/one/tests.rs", []),
            ('"fill"', "src/tests/one.rs", []),
            ('"fill"', "tests/one.rs", []),
            ('"fill"', "src/one.rs", ["fill"]),
        ]:
            with self.subTest(path):
                self.assertEqual([name for _, name in occurrences(source, path=path)], names)


if __name__ == "__main__":
    unittest.main()
