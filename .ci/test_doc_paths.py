#!/usr/bin/env python3
"""Tests that the check of pages finds paths that do not exist."""

import tempfile
import unittest
from pathlib import Path

import doc_paths


class Paths(unittest.TestCase):
    def missing(self, page):
        """Returns the missing paths of a page, where only `quota/src/bound.rs` exists."""
        with tempfile.TemporaryDirectory() as folder:
            source = Path(folder) / "crates/quota/src"
            source.mkdir(parents=True)
            (source / "bound.rs").write_text("")
            return doc_paths.missing_paths(Path(folder), page)

    def test_accepts_paths_that_exist(self):
        self.assertEqual(self.missing("see `quota/src/bound.rs` and `quota/src`"), [])

    def test_returns_paths_that_do_not_exist(self):
        self.assertEqual(self.missing("`quota/src/bounds.rs`, `policy/src`"), ["quota/src/bounds.rs", "policy/src"])

    def test_ignores_text_that_is_not_a_path(self):
        self.assertEqual(self.missing("`bound.rs`, `a/b`, quota/src/other.rs"), [])


if __name__ == "__main__":
    unittest.main()
