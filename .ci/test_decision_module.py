#!/usr/bin/env python3
"""The check of the decision module finds files that the deploy file leaves out, I/O and long lines."""

import tempfile
import unittest
from pathlib import Path

import decision_module


def found(files, policy, dependencies=("policy", "libm")):
    """What is found in a package of these sources (name -> text) and a deploy file that names these paths."""
    with tempfile.TemporaryDirectory() as folder:
        root = Path(folder)
        for name, text in files.items():
            path = root / "crates/policy/src" / name
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text)
        deploy = root / "deploy/balancer.toml"
        deploy.parent.mkdir()
        deploy.write_text(f"policy = {policy!r}\n")
        lines = decision_module.found(deploy, root / "crates/policy", dependencies)
        return [line.replace(f"{root}/", "") for line in lines]


class Files(unittest.TestCase):
    FILES = {"lib.rs": "mod hosts;\n", "hosts/mod.rs": "", "hosts/tests.rs": "use std::fs;\n"}

    def test_all_files_named(self):
        listed = ["crates/policy/src/lib.rs", "crates/policy/src/hosts/mod.rs"]
        self.assertEqual(found(self.FILES, listed), [])

    def test_a_folder_stands_for_its_files(self):
        self.assertEqual(found(self.FILES, ["crates/policy/src"]), [])

    def test_a_file_left_out(self):
        lines = found(self.FILES, ["crates/policy/src/lib.rs"])
        self.assertEqual(lines, ["deploy/balancer.toml: `policy` does not name crates/policy/src/hosts/mod.rs"])

    def test_a_file_too_many(self):
        lines = found(self.FILES, ["crates/policy/src", "crates/gateway/src/lib.rs"])
        expected = "deploy/balancer.toml: `policy` names crates/gateway/src/lib.rs, which is no source of crates/policy"
        self.assertEqual(lines, [expected])

    def test_a_file_named_twice(self):
        lines = found(self.FILES, ["crates/policy/src", "crates/policy/src/lib.rs"])
        self.assertEqual(lines, ["deploy/balancer.toml: `policy` names crates/policy/src/lib.rs twice"])


class Inputs(unittest.TestCase):
    def uses(self, source):
        return found({"lib.rs": source}, ["crates/policy/src"])

    def test_io_is_found(self):
        for use in [
            "use std::fs::File;",
            "use std::{collections::HashMap, net::TcpStream};",
            "let now = std::time::Instant::now();",
            'println!("x");',
            "tokio::spawn(async {});",
        ]:
            with self.subTest(use):
                lines = self.uses(f"//! Docs.\n{use}\n")
                self.assertEqual(len(lines), 1, lines)
                self.assertIn("crates/policy/src/lib.rs:2: ", lines[0])

    def test_comments_texts_and_containers_do_no_io(self):
        source = '//! Uses no std::fs and no tokio::net.\nuse std::collections::BTreeMap;\nlet a = "std::net";\n'
        self.assertEqual(self.uses(source), [])

    def test_a_dependency_that_does_io(self):
        lines = found({"lib.rs": ""}, ["crates/policy/src"], ["policy", "tokio"])
        self.assertEqual(lines, ["crates/policy: depends on tokio, which does I/O"])

    def test_a_long_comment(self):
        lines = self.uses("//" + "x" * 109 + "\n" + "//" + "x" * 108 + "\n")
        self.assertEqual(lines, ["crates/policy/src/lib.rs:1: 111 characters (at most 110)"])


if __name__ == "__main__":
    unittest.main()
