"""After a loss and its repair, t losses are tolerated again within half of `catchUpS`."""

import pytest
from repairs import Repair

HALF_CATCH_UP_S = 2.0  # s
LOSSES = [
    (1, ["primary"]),
    (1, ["backup"]),
    (1, ["witness"]),
    (2, ["primary", "backup"]),
    (2, ["backup", "witness"]),
    (2, ["primary", "witness"]),
]


@pytest.mark.parametrize("size", [1_000, 300_000])
@pytest.mark.parametrize(("tolerated", "roles"), LOSSES)
def test_wiped_machines_catch_up_in_time_while_changes_continue(tolerated, roles, size):
    for down in (0.1, 0.5, 3.0):
        repair = Repair(roles, tolerated, size=size, bandwidth=12_500_000.0, down=down)
        assert repair.copies_restored_s < HALF_CATCH_UP_S
        assert repair.members_restored_s < HALF_CATCH_UP_S


class MembersRecorder(Repair):
    """Records the members' incarnations in each epoch."""

    def __init__(self, *args, **kwargs):
        self.member_sets = []
        super().__init__(*args, **kwargs)

    def check(self):
        for machine in self.cluster.machines:
            if machine.up and machine.member.role == "primary":
                members = {peer.incarnation for peer in machine.member.members}
                if not self.member_sets or self.member_sets[-1] != members:
                    self.member_sets.append(members)
        super().check()


def test_an_ended_incarnation_does_not_replace_a_new_member():
    repair = MembersRecorder(["primary", "backup"], 2, 0.035, 300_000, 625_000.0)
    for before, after, later in zip(
        repair.member_sets, repair.member_sets[1:], repair.member_sets[2:], strict=False
    ):
        assert not (before - after) & later
    assert repair.members_restored_s < HALF_CATCH_UP_S


@pytest.mark.parametrize(("tolerated", "roles"), LOSSES)
def test_replacements_of_lost_machines_catch_up_in_time(tolerated, roles):
    for down in (0.0, 0.5, 3.0):
        repair = Repair(roles, tolerated, down=down, replaced=True)
        assert repair.members_restored_s < HALF_CATCH_UP_S
