"""Passive health of backend servers, and the ranking that follows."""

import random

from ibismount.placement import Placement
from ibismount.server_health import make_health
from ibismount.server_table import Server


def make_servers(count=3, service='desk'):
    return [
        Server(f'i-{number}', service, 'h', number, f'z{number}', 4)
        for number in range(count)
    ]


def make_placement(zone='z0'):
    return Placement(zone, random.Random(1))


def best_server(placement, now, candidates, **options):
    return placement.rank(now, candidates, **options)[0].id


def test_slow_server_is_avoided_after_a_few_answers():
    """A server that takes eight times as long must not keep its traffic."""
    placement, candidates = make_placement(), make_servers()
    slow = placement.health(candidates[0])
    for step in range(3):
        slow.record_answer(step * 0.1, 8)
    assert best_server(placement, 0.3, candidates) != 'i-0'


def test_slow_server_is_tried_again_later():
    """A recovered server must not stay avoided for ever."""
    placement, candidates = make_placement(), make_servers()
    for step in range(3):
        placement.health(candidates[0]).record_answer(step * 0.1, 8)
    assert best_server(placement, 40, candidates) == 'i-0'


def test_ejection_grows_with_each_lost_connection():
    """A dead server must not get every second request."""
    health = make_health()
    health.record_connection_loss(0)
    assert health.is_ejected(0.4)
    assert not health.is_ejected(0.6)
    health.record_connection_loss(0.6)
    assert health.is_ejected(1.5)
    health.record_answer(2, 1)
    health.record_connection_loss(3)
    assert not health.is_ejected(3.6)


def test_overdue_server_gets_no_new_request_for_a_while():
    """Requests must not queue up behind a server that pauses."""
    placement, candidates = make_placement(), make_servers()
    placement.health(candidates[0]).record_overdue(1, 2, 0.2)
    assert best_server(placement, 1.1, candidates) != 'i-0'


def test_own_zone_is_preferred_while_servers_are_equal():
    """Traffic between availability zones is billed."""
    chosen = {
        best_server(make_placement('z2'), 0, make_servers()) for _ in range(20)
    }
    assert chosen == {'i-2'}


def test_load_spreads_when_the_own_zone_is_full():
    """The server of the own zone must not be loaded beyond its slots."""
    placement, candidates = make_placement(), make_servers()
    placement.health(candidates[0]).in_flight = 4
    assert best_server(placement, 0, candidates) != 'i-0'


def test_zone_out_of_service_gets_nothing():
    """A zone out of service gets no work, even if no other server is left."""
    placement, candidates = make_placement(), make_servers()
    ranked = placement.rank(0, candidates, zones_out={'z0', 'z1'})
    assert [server.id for server in ranked] == ['i-2']
    assert placement.rank(0, candidates, zones_out={'z0', 'z1', 'z2'}) == []


def test_failing_server_is_avoided_though_it_is_fast():
    """A server that fails quickly looks attractive by latency alone."""
    placement, candidates = make_placement(), make_servers()
    failing = placement.health(candidates[0])
    for step in range(4):
        failing.record_answer(step * 0.1, 0.2)
        failing.record_failure(step * 0.1)
    assert best_server(placement, 0.5, candidates) != 'i-0'


def test_restart_under_the_same_id_resets_the_health():
    """Failures of an earlier incarnation must not count."""
    placement, candidates = make_placement(), make_servers()
    for _ in range(5):
        placement.health(candidates[0]).record_connection_loss(1)
    restarted = Server('i-0', 'desk', 'h', 0, 'z0', 4, incarnation=5)
    assert not placement.health(restarted).is_ejected(1)


def test_slow_server_is_not_probed_too_often():
    """Each probe of a slow server makes a search late, and many nodes probe."""
    placement, candidates = make_placement(), make_servers()
    placement.health(candidates[0]).record_answer(0, 9)
    chosen = [
        best_server(placement, step / 5, candidates)
        for step in range(1, 12 * 5)
    ]
    assert 'i-0' not in chosen


def test_unreachable_server_is_ranked_after_slow_and_failing_ones():
    """Guards against a dead server that is preferred to rejecting ones.

    One was chosen 265 times, because the other servers rejected work.
    """
    placement, candidates = make_placement(), make_servers()
    for step in range(20):
        for server in candidates[1:]:
            placement.health(server).record_answer(step / 10, 20)
            placement.health(server).record_failure(step / 10)
    placement.health(candidates[0]).record_connection_loss(2)
    assert best_server(placement, 2.1, candidates) != 'i-0'


def test_unreachable_server_is_excluded_while_others_are_reachable():
    """Guards against parts that go to a dead server instead of waiting."""
    placement, candidates = make_placement(), make_servers()
    placement.health(candidates[0]).record_connection_loss(1)
    ranked = placement.rank(1.1, candidates)
    assert 'i-0' not in [server.id for server in ranked]
    for server in candidates:
        placement.health(server).record_connection_loss(1)
    assert len(placement.rank(1.1, candidates)) == 3


def own_zone_share(paused_s=0.25, period_s=6.0, picks_per_s=13, seconds=120):
    """Return the share of the own zone while all servers are equally good.

    Latencies vary by a third, and each server pauses now and then, at its own
    time, as the shards of the grown sites do.
    """
    placement, candidates = make_placement(), make_servers()
    rng = random.Random(7)
    own = 0
    for pick in range(picks_per_s * seconds):
        now = pick / picks_per_s
        server = placement.rank(now, candidates)[0]
        own += server.id == 'i-0'
        offset_s = (now + 2 * candidates.index(server)) % period_s
        ratio = rng.lognormvariate(-0.06, 0.35)
        if offset_s < paused_s:
            ratio += (paused_s - offset_s) / 0.045
        placement.health(server).record_answer(now, ratio)
    return own / (picks_per_s * seconds)


def test_chance_does_not_move_work_to_other_zones():
    """Two thirds of the parts crossed zones, since latencies vary by chance."""
    assert own_zone_share(paused_s=0) > 0.95


def test_short_pauses_move_little_work_to_other_zones():
    """A pause of every server each six seconds must not empty the own zone."""
    assert own_zone_share() > 0.75


def test_work_moves_to_other_zones_before_the_slots_are_full():
    """The preference must not queue work behind a full server."""
    placement, candidates = make_placement(), make_servers()
    placement.health(candidates[0]).in_flight = 3
    assert best_server(placement, 0, candidates) != 'i-0'


def test_work_is_back_in_the_own_zone_soon_after_failures_end():
    """One lost answer kept a server's work in other zones for 14 seconds.

    A server of the own zone loses two fifths of its answers for 4 s. The nodes
    have to catch up within 6 s (the sites' ``catch-up-s``).
    """
    spell_s, catch_up_s, picks_per_s = 4, 6, 13
    placement, candidates = make_placement(), make_servers()
    rng = random.Random(7)
    chosen = []
    for pick in range(20 * picks_per_s):
        now = pick / picks_per_s
        server = placement.rank(now, candidates)[0]
        fails = server.id == 'i-0' and now < spell_s and rng.random() < 0.4
        if fails:
            placement.health(server).record_connection_loss(now)
        else:
            ratio = rng.lognormvariate(-0.06, 0.35)
            placement.health(server).record_answer(now, ratio)
        if now >= spell_s + catch_up_s:
            chosen.append(server.id)
    assert chosen.count('i-0') / len(chosen) > 0.75


def test_failing_server_gets_few_requests_while_it_fails():
    """A failed attempt costs its caller the time of another one.

    Searches may lack a twentieth of their parts (the sites' least share).
    """
    placement, candidates = make_placement(), make_servers()
    rng = random.Random(7)
    failures, picks = 0, 20 * 13
    for pick in range(picks):
        now = pick / 13
        server = placement.rank(now, candidates)[0]
        if server.id == 'i-0' and rng.random() < 0.4:
            failures += 1
            placement.health(server).record_connection_loss(now)
        else:
            placement.health(server).record_answer(now, 1)
    assert 0 < failures < picks / 20
