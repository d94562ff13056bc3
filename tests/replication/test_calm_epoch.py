"""In calm, with no order and no read, an epoch goes on: what is heard of a primary is answered."""
from random import Random

from shedgrade.replication import Decision, Member, Persist, Send

ADDRESSES = ("10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7")
DELAY = 0.05


def test_an_epoch_without_orders_lasts():
    now, wire = 0.0, []
    members = {address: Member(f"core-{address}", address, founding=True, seeds=ADDRESSES, tolerated=1,
                               found=None, random=Random(address), now=now,
                               decide=lambda state, order: Decision()) for address in ADDRESSES}
    epochs = set()
    while now < 20.0:
        for address, member in members.items():
            while member.effects:
                effects, member.effects[:] = list(member.effects), []
                for effect in effects:
                    if isinstance(effect, Send):
                        wire.append((now + DELAY, address, effect.to, effect.message))
                    elif isinstance(effect, Persist):
                        member.persisted(now, effect.token, True)
        due, wire = [one for one in wire if one[0] <= now], [one for one in wire if one[0] > now]
        for _, sender, to, message in due:
            members[to].receive(now, sender, message)
        for member in members.values():
            if member.wake_at() <= now:
                member.tick(now)
        if now > 3.0:
            epochs |= {member.epoch for member in members.values()}
        now += 0.01
    assert epochs == {1}
    assert sorted(member.role for member in members.values()) == ["backup", "primary", "witness"]
