"""The list of mutants is sound, and a mutant that survives or does not apply is reported."""

import pytest

from tools.mutants import ROOT, Mutant, MutantListError, ScratchCopy, main, read_mutants

LIST = ROOT / "tests" / "mutants.toml"


@pytest.mark.parametrize("mutant", read_mutants(LIST), ids=lambda mutant: mutant.name)
def test_each_change_applies_once_and_its_test_exists(mutant):
    assert (ROOT / mutant.file).read_text().count(mutant.before) == 1
    file, _, test = mutant.killer.partition("::")
    assert (ROOT / file).exists() and f"def {test.partition('[')[0]}" in (ROOT / file).read_text()
    assert mutant.before != mutant.after


@pytest.mark.parametrize(
    "text", ['[[mutant]]\nname = "a"\n', "no list", '[[mutant]]\nname = "a"\nfile = "f"\nkiler = "k"\n']
)
def test_a_malformed_list_is_reported(text, tmp_path, capsys):
    path = tmp_path / "mutants.toml"
    path.write_text(text)
    assert main([str(path)]) == 1
    assert str(path) in capsys.readouterr().out


def test_two_mutants_of_the_same_name_are_rejected(tmp_path):
    fields = 'name = "a"\nfile = "f"\nbefore = "b"\nafter = "c"\nkiller = "k"\n'
    path = tmp_path / "mutants.toml"
    path.write_text(f"[[mutant]]\n{fields}[[mutant]]\n{fields}")
    with pytest.raises(MutantListError, match="same name"):
        read_mutants(path)


def test_surviving_and_killed_mutants_are_distinguished(tmp_path):
    copy = ScratchCopy(tmp_path)
    file, test = "shedgrade/replication/quorums.py", "tests/replication/test_quorum_rules.py"
    before = "return len(peers) // 2 + 1"
    assert copy.run_mutant(Mutant("dies", file, before, "return len(peers) // 2", test)).problem == ""
    harmless = Mutant("lives", file, before, "return 1 + len(peers) // 2", test)
    assert copy.run_mutant(harmless).problem == f"survives {test}"
    assert "not once" in copy.run_mutant(Mutant("stale", file, "no such text", "", test)).problem
    assert (
        "could not be run"
        in copy.run_mutant(Mutant("lost", file, before, "return 0", "tests/none.py")).problem
    )
