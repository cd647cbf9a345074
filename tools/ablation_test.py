import pathlib
import shutil
import tempfile
import unittest

import ablation


class Edits(unittest.TestCase):
    """Each mechanism can still be switched off, and the sources compile without it."""

    def test_edits_fit_the_sources(self):
        with tempfile.TemporaryDirectory() as folder:
            for mechanism in ablation.MECHANISMS:
                with self.subTest(mechanism.name):
                    copy = pathlib.Path(folder) / mechanism.name
                    (copy / mechanism.path.parent).mkdir(parents=True)
                    shutil.copy(ablation.ROOT / mechanism.path, copy / mechanism.path)
                    ablation.switch_off(mechanism, copy)
                    compile((copy / mechanism.path).read_text(), str(mechanism.path), "exec")

    def test_text_that_is_gone(self):
        mechanism = ablation.Mechanism("x", pathlib.Path("a.py"), "old", "new")
        with tempfile.TemporaryDirectory() as folder:
            (pathlib.Path(folder) / "a.py").write_text("something else")
            with self.assertRaises(ablation.EditFailed):
                ablation.switch_off(mechanism, pathlib.Path(folder))
