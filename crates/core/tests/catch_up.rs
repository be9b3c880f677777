//! Followers that catch up with a new configuration at the same time.

use std::time::Duration;

use hibiscusladder_core::{
    catch_up::{CatchUp, Source, TRANSFER_TIMEOUT},
    clock::Instant,
    name::InstanceId,
};
use test_case::test_case;

/// Time between two rounds of messages, in which a follower decides whether to ask for data.
const ROUND_MS: u64 = 250;
/// Time within which a configuration has to be in force everywhere (`config_apply_ms` of the deployments).
const APPLY_TIMEOUT_MS: u64 = 8000;
/// Transfers that a hub serves at the same time.
const PARALLEL_TRANSFERS: usize = 8;

/// Links of the hubs, each shared by the transfers that it serves, the others waiting in the order of their requests.
struct Hubs {
    names: Vec<InstanceId>,
    bytes_per_ms: f64,
    /// Follower and remaining bytes of each transfer, by hub.
    transfers: Vec<Vec<(usize, f64)>>,
    /// Transfers that go on although their receiver has given up; without a queue a hub serves all at once.
    is_limited: bool,
    sent: f64,
}

impl Hubs {
    /// Sends for one millisecond, and returns the followers whose transfers are complete.
    fn send(&mut self) -> Vec<usize> {
        let mut complete = Vec::new();
        for transfers in &mut self.transfers {
            let limit = if self.is_limited { PARALLEL_TRANSFERS } else { usize::MAX };
            let active = transfers.len().min(limit);
            for (_, left) in transfers.iter_mut().take(active) {
                *left -= self.bytes_per_ms / active as f64;
            }
            self.sent += if active > 0 { self.bytes_per_ms } else { 0.0 };
            let ended = transfers.iter().filter(|(_, left)| *left <= 0.0);
            complete.extend(ended.map(|(follower, _)| *follower));
            transfers.retain(|(_, left)| *left > 0.0);
        }
        complete
    }
}

struct Follower {
    catch_up: CatchUp,
    asked: Option<(usize, Instant)>,
    done: bool,
}

/// Plays a change of `bytes` with `followers` behind two hubs; returns the followers that have it in time, and the bytes
/// sent for each of them. `repeats` has followers ask again in each round, as without [`CatchUp`].
fn play(followers: usize, bytes: f64, bytes_per_ms: f64, repeats: bool) -> (usize, f64) {
    let names: Vec<InstanceId> = vec!["hub-1".into(), "hub-2".into()];
    let mut hubs = Hubs {
        transfers: vec![Vec::new(); names.len()],
        names: names.clone(),
        bytes_per_ms,
        is_limited: !repeats,
        sent: 0.0,
    };
    let mut fleet: Vec<Follower> = (0..followers)
        .map(|number| Follower {
            catch_up: CatchUp::new(format!("i-{number}").into()),
            asked: None,
            done: false,
        })
        .collect();
    for ms in 0..APPLY_TIMEOUT_MS {
        let now = Instant::new(Duration::from_millis(ms));
        for follower in hubs.send() {
            fleet[follower].done = true;
            fleet[follower].catch_up.finished();
        }
        for (number, follower) in fleet.iter_mut().enumerate().filter(|(_, other)| !other.done) {
            if repeats {
                if (ms + number as u64 * 7).is_multiple_of(ROUND_MS) {
                    hubs.transfers[0].push((number, bytes));
                }
                continue;
            }
            if let Some((hub, asked)) = follower.asked
                && now.since(asked) >= TRANSFER_TIMEOUT
            {
                hubs.transfers[hub].retain(|(receiver, _)| *receiver != number);
                follower.asked = None;
                follower.catch_up.failed();
            }
            if !(ms + number as u64 * 7).is_multiple_of(ROUND_MS) {
                continue;
            }
            match follower.catch_up.next_source(&names, now) {
                Some(Source::Instance(name)) => {
                    let hub = hubs.names.iter().position(|hub| *hub == name).expect("a hub");
                    hubs.transfers[hub].push((number, bytes));
                    follower.asked = Some((hub, now));
                }
                Some(Source::Store) => {
                    follower.done = true;
                }
                None => {}
            }
        }
    }
    let done = fleet.iter().filter(|follower| follower.done).count();
    (done, hubs.sent / followers as f64)
}

/// Guards against a stampede on the link of a hub: all followers ask for a large configuration at once, and the answers
/// to repeated requests leave no room for each other.
#[test_case(7, 20_000.0, 250.0; "a hub with 2 Mbit per second")]
#[test_case(147, 20_000.0, 2_500.0; "147 followers, hubs with 20 Mbit per second")]
#[test_case(310, 40_000.0, 25_000.0; "310 followers, hubs with 200 Mbit per second")]
fn next_source_large_configuration(followers: usize, bytes: f64, bytes_per_ms: f64) {
    let (done, sent) = play(followers, bytes, bytes_per_ms, false);
    assert_eq!(done, followers, "the configuration is late");
    assert!(sent <= 1.5 * bytes, "{sent} bytes for each follower");
}

/// The load of the test above is one that repeated requests do not carry.
#[test]
fn repeated_requests_large_configuration() {
    let (done, _) = play(7, 150_000.0, 250.0, true);
    assert!(done < 7);
}

/// Guards against an instance that stays behind because none of its sources answers.
#[test]
fn next_source_falls_back_to_the_store() {
    let mut catch_up = CatchUp::new("i-1".into());
    let hubs = ["hub-1".into(), "hub-2".into()];
    let mut asked = Vec::new();
    for round in 0..20 {
        let now = Instant::new(Duration::from_millis(round * ROUND_MS));
        let source = catch_up.next_source(&hubs, now).expect("no transfer is running");
        catch_up.failed();
        if source == Source::Store {
            assert!(asked.len() >= 2 && asked[0] != asked[1], "both hubs were asked");
            return;
        }
        asked.push(source);
    }
    panic!("the store was not asked");
}

/// Guards against an instance that never asks again because the task of a transfer ended by an error.
#[test]
fn next_source_after_an_abandoned_transfer() {
    let mut catch_up = CatchUp::new("i-1".into());
    let hubs = ["hub-1".into()];
    assert!(catch_up.next_source(&hubs, Instant::default()).is_some());
    assert!(catch_up.next_source(&hubs, Instant::new(Duration::from_secs(1))).is_none());
    assert!(catch_up.next_source(&hubs, Instant::new(Duration::from_secs(11))).is_some());
}

/// Guards against an instance that asks the store at once although it fell behind just now, after an earlier lag.
#[test]
fn caught_up_starts_anew() {
    let mut catch_up = CatchUp::new("i-1".into());
    let hubs = ["hub-1".into()];
    assert!(catch_up.next_source(&hubs, Instant::default()).is_some());
    catch_up.finished();
    catch_up.caught_up();
    let later = Instant::new(Duration::from_secs(60));
    assert_eq!(catch_up.next_source(&hubs, later), Some(Source::Instance("hub-1".into())));
}
