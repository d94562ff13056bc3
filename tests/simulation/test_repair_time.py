"""After a loss and its repair, t losses are tolerated again within half of `catchUpS`."""

import pytest
from repairs import Repair

HALF_OF_CATCH_UP = 2.0  # s
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
        assert repair.copied < HALF_OF_CATCH_UP
        assert repair.counted < HALF_OF_CATCH_UP


class MembersSeen(Repair):
    """Records the members' incarnations in each epoch."""

    def __init__(self, *args, **kwargs):
        self.seen = []
        super().__init__(*args, **kwargs)

    def look(self):
        for machine in self.cluster.machines:
            if machine.up and machine.member.role == "primary":
                members = {peer.incarnation for peer in machine.member.members}
                if not self.seen or self.seen[-1] != members:
                    self.seen.append(members)
        super().look()


def test_an_ended_incarnation_does_not_replace_a_new_member():
    repair = MembersSeen(["primary", "backup"], 2, 0.035, 300_000, 625_000.0)
    for before, after, later in zip(repair.seen, repair.seen[1:], repair.seen[2:], strict=False):
        assert not (before - after) & later
    assert repair.counted < HALF_OF_CATCH_UP


@pytest.mark.parametrize(("tolerated", "roles"), LOSSES)
def test_replacements_of_lost_machines_catch_up_in_time(tolerated, roles):
    for down in (0.0, 0.5, 3.0):
        repair = Repair(roles, tolerated, down=down, successor=True)
        assert repair.counted < HALF_OF_CATCH_UP
