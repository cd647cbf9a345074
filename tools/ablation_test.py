import pathlib
import shutil
import tempfile
import unittest

import ablation


class Patches(unittest.TestCase):
    """Guards against patches that no longer match the sources or break their syntax."""

    def test_patches_match_the_sources(self):
        with tempfile.TemporaryDirectory() as folder:
            for mechanism in ablation.MECHANISMS:
                with self.subTest(mechanism.name):
                    copy = pathlib.Path(folder) / mechanism.name
                    (copy / mechanism.path.parent).mkdir(parents=True)
                    shutil.copy(ablation.ROOT / mechanism.path, copy / mechanism.path)
                    ablation.disable(mechanism, copy)
                    compile((copy / mechanism.path).read_text(), str(mechanism.path), "exec")

    def test_missing_text(self):
        mechanism = ablation.Mechanism("x", pathlib.Path("a.py"), "old", "new")
        with tempfile.TemporaryDirectory() as folder:
            (pathlib.Path(folder) / "a.py").write_text("something else")
            with self.assertRaises(ablation.PatchFailed):
                ablation.disable(mechanism, pathlib.Path(folder))
