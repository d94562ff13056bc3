"""The table of mechanisms that can be switched off matches the sources: each variant changes its files."""

from pathlib import Path

import pytest

from benchmarks import ablation


@pytest.mark.parametrize("variant", ablation.variants(), ids=lambda variant: variant.name)
def test_each_variant_still_switches_something_off(variant, tmp_path):
    assert variant.needs in ("choice", "bench")
    copied = ablation.copy(variant, tmp_path)
    for edit in variant.edits:
        before, after = (root / edit.file for root in (ablation.ROOT, copied))
        assert before.read_text() != after.read_text()
        compile(after.read_text(), edit.file, "exec")


def test_a_text_that_is_not_found_is_an_error(tmp_path):
    (tmp_path / "one.py").write_text("a = 1\n")
    with pytest.raises(ValueError, match="does not contain"):
        ablation.apply(ablation.Edit("one.py", "b = 1", ""), tmp_path)


def test_a_table_has_means_with_their_spread():
    plays = {"as it is": [{"worth": 0.9}, {"worth": 0.8}], "a mechanism": [{"worth": 0.5}]}
    assert ablation.table("a day", plays).splitlines()[2:] == [
        "| without | worth |",
        "| --- | --- |",
        "| as it is | 0.850 +- 0.050 |",
        "| a mechanism | 0.500 +- 0.000 |",
    ]


def test_scenes_are_read_and_played():
    """Plays two seconds of each scene, with all edges and with one chooser that sees everything."""
    import tomllib

    from benchmarks.choice import play

    for scene in sorted(Path(ablation.__file__).with_name("scenes").glob("*.toml")):
        for variant in ("edges", "one"):
            found = play(tomllib.loads(scene.read_text()), 1, variant, 2.0)
            assert 0.0 < found["whole"] <= 1.0 + 1e-9
