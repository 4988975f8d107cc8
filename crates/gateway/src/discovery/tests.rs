use super::refresh_policy::*;
use super::watch::expire;
use irishinge_settings::{DiscoveryMode, SocketSettings};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, Instant};

fn policy(discovery_mode: DiscoveryMode, gateways: usize, drain_grace_ms: f64) -> RefreshPolicy {
    let settings = SocketSettings {
        idle_connection_timeout_ms: 1000.0,
        connect_timeout_ms: 250.0,
        retry_after_enabled: true,
        counter_timeout_ms: 50.0,
        discovery_mode,
        drain_grace_ms,
    };
    RefreshPolicy::new(&settings, gateways)
}

/// A list holds for so long.
const HOLDS: Duration = TOLD_AFTER.saturating_sub(MARGIN);

fn asked(gateways: usize, seed: u64, now: Instant) -> Keeper {
    Keeper::new(policy(DiscoveryMode::OnRequest, gateways, 2000.0), seed, now)
}

/// From the moment at which a watch falls silent to the one at which the list is here again, at the worst: the
/// watch has just been opened, the pause is the longest, and the connection and the list take all patience.
#[test]
fn a_pushed_list_is_here_again_inside_the_grace_whatever_became_of_the_watch() {
    for grace_ms in [250.0, 1000.0, 2000.0, 2500.0, 10_000.0] {
        for gateways in [1, 300, 100_000] {
            let RefreshPolicy {
                wait,
                patience,
                first_patience,
                connect_patience,
                first,
                most,
                whole_first,
                ..
            } = policy(DiscoveryMode::Pushed, gateways, grace_ms);
            assert!(first_patience == patience && connect_patience == patience);
            let notice = wait + patience;
            let back = most.max(first) + patience;
            let room = Duration::from_secs_f64(grace_ms / 1000.0).mul_f64(0.9);
            assert!(notice + back < room, "{grace_ms}: {notice:?} and {back:?}");
            // At discovery's return a first call has just been left silent; and so on each address after SIGHUP.
            assert!(patience + back < room, "{grace_ms}: {patience:?} and {back:?}");
            assert!(whole_first, "versions may have begun anew");
        }
    }
}

/// A watch that has only just been opened falls silent for good. The next call's answer is here before the list has
/// expired, as long as discovery is not overrun, after the longest of pauses; and so from any failure of a watch.
#[test]
fn a_list_that_is_asked_for_is_here_again_before_it_has_expired() {
    let start = Instant::now();
    let mut random = fastrand::Rng::with_seed(9);
    for gateways in [1, 30, 300, 5300, 100_000] {
        for seed in 0..200 {
            let mut keeper = asked(gateways, seed, start);
            for first in [true, false] {
                let (wait, patience) = keeper.watch(first, start);
                assert!(wait >= Duration::from_millis(1500), "{first}: {wait:?}");
                let noticed = start + wait + patience;
                let again = noticed + keeper.failed(&Failure::Broken("silent"), noticed);
                assert!(again + ANSWER_ROOM <= start + HOLDS, "{first}: {:?}", again - start);
                let broke = start + (wait + patience).mul_f64(random.f64());
                let again = broke + keeper.failed(&Failure::Broken("reset"), broke);
                assert!(again + ANSWER_ROOM <= start + HOLDS, "{first}: {:?}", again - start);
            }
        }
    }
    // Not so short a wait that an idle fleet's watches would press discovery.
    let (wait, patience) = asked(300, 5, start).watch(false, start);
    assert_eq!(wait, Duration::from_millis(3500));
    assert_eq!(wait + patience + SPREAD + ANSWER_ROOM, TOLD_AFTER - MARGIN);
    // A call was begun just before discovery came back, and its connection never comes up.
    assert!(CONNECT_PATIENCE + BACKOFF_FIRST + ANSWER_ROOM <= TOLD_AFTER - MARGIN);
    // After SIGHUP the first call is begun at once, and may wait in line.
    assert!(LINE_PATIENCE + ANSWER_ROOM <= TOLD_AFTER_MOVE - MARGIN);
}

#[test]
fn what_cannot_be_reached_is_called_often_enough_for_the_list_to_hold_through_any_outage() {
    for gateways in [1, 300, 100_000] {
        let mut now = Instant::now();
        let mut keeper = asked(gateways, 5, now);
        // A watch falls silent first, since the machine has gone.
        let (wait, patience) = keeper.watch(false, now);
        now += wait + patience;
        now += keeper.failed(&Failure::Broken("silent"), now);
        for _ in 0..1000 {
            let begun = now;
            now += CONNECT_PATIENCE;
            assert!(keeper.until() > Some(now));
            now += keeper.failed(&Failure::Unreachable { begun, why: "down" }, now);
            assert!(keeper.until() > Some(now));
        }
    }
}

#[test]
fn only_a_list_a_refusal_or_an_outage_in_which_nothing_was_reached_renews_a_list() {
    let start = Instant::now();
    let later = start + Duration::from_secs(1);
    let until = |failures: &[Failure], keeper: &mut Keeper| {
        failures.iter().for_each(|f| _ = keeper.failed(f, later));
        keeper.until().expect("asked for")
    };
    let down = || Failure::Unreachable { begun: later, why: "down" };
    let fresh = || asked(300, 5, start);
    assert_eq!(until(&[down()], &mut fresh()), later + HOLDS);
    assert_eq!(until(&[Failure::Broken("reset"), down()], &mut fresh()), later + HOLDS);
    let silent = || Failure::Unanswered("silent");
    assert_eq!(until(&[silent()], &mut fresh()), start + HOLDS);
    assert_eq!(until(&[silent(), down()], &mut fresh()), start + HOLDS);
    assert_eq!(until(&[Failure::TurnedAway], &mut fresh()), later + REFUSED_HOLDS);
    let mut keeper = fresh();
    until(&[silent()], &mut keeper);
    keeper.listed(Duration::ZERO, start);
    assert_eq!(until(&[down()], &mut keeper), later + HOLDS, "a list makes good");
    // Once it has expired, that discovery is down does not bring it back.
    let mut keeper = asked(300, 5, start - HOLDS);
    assert_eq!(until(&[down()], &mut keeper), start);
    // After SIGHUP it holds for less, but not for longer than it did.
    let mut keeper = fresh();
    keeper.moved(later);
    assert_eq!(keeper.until(), Some(later + TOLD_AFTER_MOVE - MARGIN));
    keeper.moved(start + Duration::from_secs(4));
    assert_eq!(keeper.until(), Some(later + TOLD_AFTER_MOVE - MARGIN));
    keeper.failed(&Failure::TurnedAway, start + Duration::from_secs(4));
    assert_eq!(keeper.until(), Some(later + TOLD_AFTER_MOVE - MARGIN), "nor by refusals");
    // A pushed list holds for good.
    let mut keeper = Keeper::new(policy(DiscoveryMode::Pushed, 300, 2000.0), 5, start);
    keeper.moved(start);
    keeper.failed(&Failure::Unanswered("silent"), later);
    assert_eq!(keeper.until(), None);
}

/// An outage of ten seconds in which a front turns calls away once they have waited for 2 s, as seen, or at once: the
/// list holds through it, calls stay frequent, and the first one after it is answered before the list has expired.
/// Without an end to it the list does expire, and only a list helps.
#[test]
fn a_list_holds_through_refusals_for_as_long_as_an_outage_and_not_for_good() {
    const LEAST_GRACE: Duration = Duration::from_secs(2);
    const REFUSED_AFTER: [Duration; 2] = [Duration::from_millis(2), Duration::from_secs(2)];
    for (seed, refused_after) in (0..200).flat_map(|seed| REFUSED_AFTER.map(|after| (seed, after))) {
        let start = Instant::now();
        let mut keeper = asked(300, seed, start);
        let (wait, _) = keeper.watch(false, start);
        let back = start + wait + Duration::from_secs(10);
        // The open watch is turned away first.
        let mut now = start + wait;
        now += keeper.failed(&Failure::TurnedAway, now);
        while now < back {
            now += refused_after;
            now += keeper.failed(&Failure::TurnedAway, now);
            assert!(keeper.until() > Some(now), "{:?}", now - start);
        }
        assert!(
            now + ANSWER_ROOM < back + TOLD_AFTER + LEAST_GRACE - MARGIN,
            "told {:?} after the return",
            now - back
        );
        while now < start + 2 * REFUSED_MOST {
            now += refused_after + keeper.failed(&Failure::TurnedAway, now);
        }
        assert!(keeper.until() <= Some(start + REFUSED_MOST), "{:?}", keeper.until().map(|u| u - start));
    }
}

/// In made-up time: once each time, not while the list is renewed, and not where it is renewed in the very moment.
#[tokio::test(start_paused = true)]
async fn an_expired_list_is_told_once_until_it_is_renewed() {
    let second = Duration::from_secs(1);
    let mut until = Instant::now() + second;
    let (renew, holds) = watch::channel(until);
    let told = Arc::new(AtomicUsize::new(0));
    let counted = told.clone();
    tokio::spawn(expire(holds, move || _ = counted.fetch_add(1, Relaxed)));
    for _ in 0..10 {
        sleep_until(until).await;
        until += second;
        renew.send_replace(until);
    }
    tokio::task::yield_now().await;
    assert_eq!(told.load(Relaxed), 0);
    // It ends sooner than was said.
    renew.send_replace(until - second / 2);
    sleep_until(until - second / 4).await;
    assert_eq!(told.load(Relaxed), 1);
    sleep(100 * second).await;
    assert_eq!(told.load(Relaxed), 1);
    renew.send_replace(Instant::now() + second);
    sleep(2 * second).await;
    assert_eq!(told.load(Relaxed), 2);
}

/// What a discovery of this capacity does with calls.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Overrun {
    /// The line holds 2 s of work; what finds it full is turned away at once, at no cost.
    TurnsAway,
    /// The same, but says nothing.
    Silent,
    /// The line holds 4 s of work. What has waited 2 s in it is turned away then, and worked through all the same.
    WorksThrough,
}

/// What became of a fleet.
#[derive(Debug, Default)]
struct Returned {
    /// When the last gateway had its first list, and part of the gateways that had one.
    last_s: f64,
    reached: f64,
    /// DiscoveryMode a second of discovery's time, calls worked through for nobody, and calls that brought no list.
    lists: f64,
    wasted: f64,
    failed: usize,
    /// Part of the fleet holding its list, on the mean.
    holding: f64,
    /// The longest that a gateway took its list to hold after it had been reached and the list was current.
    stale: Duration,
}

/// A fleet whose discovery, unreachable for long, returns at 0 with a fixed capacity. Each call takes a place in the
/// line. A watch is answered when its wait is over, counted from when its turn came, and the next follows at once.
fn returns(gateways: usize, per_s: f64, overrun: Overrun, most_s: f64) -> Returned {
    const LINE: f64 = 2.0;
    const LOOK: f64 = 0.5;
    const WAY: f64 = 0.01;
    let base = Instant::now();
    let at = |s: f64| base + Duration::from_secs_f64(s + 10.0);
    let mut random = fastrand::Rng::with_seed(per_s as u64);
    let mut keepers: Vec<Keeper> = Vec::new();
    // Calls to come: when, in microseconds; who; on a connection that has brought a list.
    let mut calls = BinaryHeap::new();
    for gateway in 0..gateways {
        // The last call that found nobody there, and the first that does.
        let last = -BACKOFF_FIRST.as_secs_f64() * random.f64();
        let mut keeper = asked(gateways, gateway as u64, at(last));
        let failure = Failure::Unreachable { begun: at(last), why: "down" };
        let mut next = last;
        while next < 0.0 {
            next += keeper.failed(&failure, at(next)).as_secs_f64();
        }
        calls.push(Reverse(((next * 1e6) as u64, gateway, false)));
        keepers.push(keeper);
    }
    let mut first = vec![None; gateways];
    let mut told: Vec<Instant> = keepers.iter().map(|k| k.until().expect("asked for") - HOLDS).collect();
    let mut got = Returned::default();
    let (mut free, mut looked, mut served, mut wasted) = (0.0, 0.0, 0.0, 0.0);
    while let Some(Reverse((us, gateway, established))) = calls.pop() {
        let now = us as f64 / 1e6;
        while looked < now.min(most_s) {
            let holding = keepers.iter().filter(|k| k.until() > Some(at(looked))).count();
            got.holding += holding as f64 / gateways as f64 * LOOK / most_s;
            looked += LOOK;
        }
        if now > most_s {
            break;
        }
        let keeper = &mut keepers[gateway];
        let (mut wait, patience) = keeper.watch(!established, at(now));
        if first[gateway].is_none() {
            wait = Duration::ZERO;
        }
        let (wait, patience) = (wait.as_secs_f64(), patience.as_secs_f64());
        let line = f64::max(free - now, 0.0);
        let bound = if overrun == Overrun::WorksThrough { 2.0 * LINE } else { LINE };
        let (failure, after) = if line > bound {
            match overrun {
                Overrun::Silent if established => (Some(Failure::Broken("silent")), wait + patience),
                Overrun::Silent => (Some(Failure::Unanswered("silent")), wait + patience),
                _ => (Some(Failure::TurnedAway), WAY),
            }
        } else {
            free = f64::max(free, now) + 1.0 / per_s;
            let turn = free - now;
            if line > LINE {
                wasted += 1.0;
                (Some(Failure::TurnedAway), LINE)
            } else if turn + WAY > patience {
                wasted += 1.0;
                (Some(Failure::Broken("no answer in time")), wait + patience)
            } else {
                served += 1.0;
                (None, turn + wait + WAY)
            }
        };
        let then = now + after;
        let pause = match &failure {
            Some(failure) => {
                got.failed += 1;
                keeper.failed(failure, at(then))
            }
            None => {
                keeper.listed(Duration::from_secs_f64(after - wait), at(then));
                told[gateway] = at(then);
                first[gateway].get_or_insert(then);
                Duration::ZERO
            }
        };
        got.stale = got.stale.max(keeper.until().expect("asked for") - told[gateway]);
        calls.push(Reverse((((then + pause.as_secs_f64()) * 1e6) as u64, gateway, failure.is_none())));
    }
    got.last_s = first.iter().map(|f| f.unwrap_or(most_s)).fold(0.0, f64::max);
    got.reached = first.iter().flatten().count() as f64 / gateways as f64;
    (got.lists, got.wasted) = (served / most_s, wasted / (served + wasted));
    got
}

#[test]
fn a_fleet_of_any_size_comes_back_to_a_discovery_of_any_capacity() {
    for overrun in [Overrun::TurnsAway, Overrun::Silent, Overrun::WorksThrough] {
        for gateways in [1, 30, 100, 300, 5300] {
            for per_s in [20.0, 50.0, 200.0, 2000.0] {
                let turn_s = gateways as f64 / per_s;
                let got = returns(gateways, per_s, overrun, f64::max(60.0, 4.0 * turn_s));
                println!("{overrun:?}, {gateways} gateways, {per_s} a second: {got:.2?}");
                let most = if overrun == Overrun::Silent { HOLDS } else { REFUSED_MOST };
                assert!(got.stale <= most, "nothing is sent by a list that is older: {:?}", got.stale);
                if turn_s < 3.0 {
                    // All gateways together can be served in time, so that each is.
                    assert!(got.last_s <= turn_s + 4.5, "the last one at {} s", got.last_s);
                    assert!(got.holding > 0.98, "{}", got.holding);
                } else if overrun != Overrun::WorksThrough {
                    // They cannot, and nearly all of discovery's time still goes to lists.
                    assert!(got.lists > 0.9 * per_s && got.wasted < 0.1, "{got:?}");
                } else if turn_s < 8.0 {
                    // Pauses stay short for as long as refusals may be an outage, which costs a third of it.
                    assert!(got.lists > 0.3 * per_s, "{got:?}");
                } else {
                    // The windows end short of what so slow a discovery would need of so large a fleet.
                    assert!(got.lists > 0.05 * per_s, "{got:?}");
                }
            }
        }
    }
}

/// When each gateway of a fleet that starts at once has its first answer, from a discovery that serves a call
/// in `service` and works through those, too, that have waited 2 s and given up. None by 30 s: `None`.
fn first_answers(gateways: usize, service: f64) -> Vec<Option<f64>> {
    const PATIENCE: f64 = 2.0;
    let start = Instant::now();
    let mut keepers: Vec<Keeper> = (0..gateways).map(|g| asked(gateways, g as u64, start)).collect();
    let mut answered = vec![None; gateways];
    // Calls to come, in microseconds, and calls waiting or dead in the line.
    let mut calls: BinaryHeap<Reverse<(u64, usize)>> = (0..gateways).map(|g| Reverse((0, g))).collect();
    let (mut line, mut free) = (VecDeque::new(), 0.0);
    while let Some(Reverse((at, gateway))) = calls.pop() {
        let now = at as f64 / 1e6;
        if now > 30.0 {
            break;
        }
        while line.front().is_some_and(|done| *done <= now) {
            line.pop_front();
        }
        free = f64::max(free, now) + service;
        line.push_back(free);
        if free - now <= PATIENCE {
            answered[gateway] = Some(free);
        } else {
            let failed = now + PATIENCE;
            let then = start + Duration::from_secs_f64(failed);
            let again = failed + keepers[gateway].failed(&Failure::TurnedAway, then).as_secs_f64();
            calls.push(Reverse(((again * 1e6) as u64, gateway)));
        }
    }
    answered
}

#[test]
fn a_hundred_gateways_that_start_at_once_all_get_through_to_a_slow_discovery() {
    let answers = first_answers(100, 0.05);
    let last = answers.iter().map(|a| a.expect("an answer within 30 s")).fold(0.0, f64::max);
    assert!(last < 20.0, "the last one at {last} s");
}

#[test]
fn pauses_are_drawn_from_a_window_that_widens_up_to_its_bound_and_narrows_with_lists() {
    // The list has expired: while it holds, the window stays as it is.
    let now = Instant::now() + HOLDS;
    let asked = |gateways, seed| asked(gateways, seed, now - HOLDS);
    let mut keeper = asked(100, 7);
    let most = BACKOFF_MOST_EACH * 100;
    let pauses: Vec<Duration> = (0..200).map(|_| keeper.failed(&Failure::TurnedAway, now)).collect();
    assert!(pauses[0] <= BACKOFF_FIRST);
    assert!(pauses.iter().all(|p| *p <= most));
    assert!(pauses.iter().any(|p| *p > most / 2), "the window has grown");
    let silent = |keeper: &mut Keeper| keeper.failed(&Failure::Unanswered("silent"), now);
    assert!((0..200).all(|_| silent(&mut keeper) <= BACKOFF_FIRST), "its end must not be missed");
    (0..20).for_each(|_| keeper.listed(Duration::ZERO, now));
    assert!(keeper.failed(&Failure::TurnedAway, now) <= BACKOFF_FIRST);
    let mut other = asked(100, 8);
    assert!(
        (0..10).any(|i| other.failed(&Failure::TurnedAway, now) != pauses[i]),
        "another keeps out of step"
    );
    assert!(asked(usize::MAX, 7).failed(&Failure::TurnedAway, now) > Duration::ZERO);
}
