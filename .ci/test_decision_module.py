#!/usr/bin/env python3
"""Tests that the check of the decision module finds files missing from the deploy file, I/O and long lines."""

import tempfile
import unittest
from pathlib import Path

import decision_module


def problems(files, policy, dependencies=("policy", "libm")):
    """Returns the problems of a package with these sources (name -> text) and a deploy file that lists these paths."""
    with tempfile.TemporaryDirectory() as folder:
        root = Path(folder)
        for name, text in files.items():
            path = root / "crates/policy/src" / name
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text)
        deploy = root / "deploy/balancer.toml"
        deploy.parent.mkdir()
        deploy.write_text(f"policy = {policy!r}\n")
        lines = decision_module.problems(deploy, root / "crates/policy", dependencies)
        return [line.replace(f"{root}/", "") for line in lines]


class ListedFiles(unittest.TestCase):
    FILES = {"lib.rs": "mod hosts;\n", "hosts/mod.rs": "", "hosts/tests.rs": "use std::fs;\n"}

    def test_accepts_a_list_of_all_files(self):
        listed = ["crates/policy/src/lib.rs", "crates/policy/src/hosts/mod.rs"]
        self.assertEqual(problems(self.FILES, listed), [])

    def test_accepts_a_folder_for_its_files(self):
        self.assertEqual(problems(self.FILES, ["crates/policy/src"]), [])

    def test_rejects_a_missing_file(self):
        lines = problems(self.FILES, ["crates/policy/src/lib.rs"])
        self.assertEqual(lines, ["deploy/balancer.toml: `policy` does not list crates/policy/src/hosts/mod.rs"])

    def test_rejects_a_file_of_another_package(self):
        lines = problems(self.FILES, ["crates/policy/src", "crates/gateway/src/lib.rs"])
        expected = "deploy/balancer.toml: `policy` lists crates/gateway/src/lib.rs, which is not a source file of crates/policy"
        self.assertEqual(lines, [expected])

    def test_rejects_a_file_that_is_listed_twice(self):
        lines = problems(self.FILES, ["crates/policy/src", "crates/policy/src/lib.rs"])
        self.assertEqual(lines, ["deploy/balancer.toml: `policy` lists crates/policy/src/lib.rs twice"])


class Sources(unittest.TestCase):
    def problems_of(self, source):
        return problems({"lib.rs": source}, ["crates/policy/src"])

    def test_rejects_io(self):
        for use in [
            "use std::fs::File;",
            "use std::{collections::HashMap, net::TcpStream};",
            "let now = std::time::Instant::now();",
            'println!("x");',
            "tokio::spawn(async {});",
        ]:
            with self.subTest(use):
                lines = self.problems_of(f"//! Docs.\n{use}\n")
                self.assertEqual(len(lines), 1, lines)
                self.assertIn("crates/policy/src/lib.rs:2: ", lines[0])

    def test_accepts_names_of_io_in_comments_and_strings_and_containers_of_std(self):
        source = '//! Uses no std::fs and no tokio::net.\nuse std::collections::BTreeMap;\nlet a = "std::net";\n'
        self.assertEqual(self.problems_of(source), [])

    def test_rejects_a_dependency_that_does_io(self):
        lines = problems({"lib.rs": ""}, ["crates/policy/src"], ["policy", "tokio"])
        self.assertEqual(lines, ["crates/policy: depends on tokio, which does I/O"])

    def test_rejects_a_line_of_more_than_110_characters(self):
        lines = self.problems_of("//" + "x" * 109 + "\n" + "//" + "x" * 108 + "\n")
        self.assertEqual(lines, ["crates/policy/src/lib.rs:1: 111 characters (at most 110)"])


if __name__ == "__main__":
    unittest.main()
