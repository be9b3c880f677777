//! Urgency of calls between instances of this version and earlier ones, and the refusals of a queue.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use futures::{AsyncReadExt, AsyncWriteExt, FutureExt};
use hibiscusladder_core::{clock::Instant, name::Workspace};
use hibiscusladder_gateway::{
    ledger::Ledger,
    message::{SectionKind, Sections},
    refusal::{Refusals, RefusedRequest},
    settings::PeerLimits,
    slot_order::SlotOrder,
    token_order::TokenOrder,
    tunnel::{Call, FrameStream, Payload, RunCall},
    urgency::{CallUrgency, SlotRequest, Work, jitter, work_kind},
};
use smol::net::{TcpListener, TcpStream};

fn at(ms: u64) -> Instant {
    Instant::new(Duration::from_millis(ms))
}

const fn urgency(priority: u32, target_ms: u64, used_ms: u64) -> CallUrgency {
    CallUrgency {
        priority,
        kind: priority as u64,
        target: target_ms * 1000,
        used: used_ms * 1000,
        left: 4_000_000 - used_ms * 1000,
        begins_transaction: false,
        needs_primary: false,
        is_final: true,
    }
}

fn request(workspace: &Workspace, urgency: Option<CallUrgency>, until: u64) -> SlotRequest<'_> {
    SlotRequest { workspace, contract: (1.0, 0), urgency, jitter: 0.0, until: at(until) }
}

fn call() -> Call {
    Call::Run(RunCall {
        member: "m".into(),
        workspace: "w".into(),
        values: BTreeMap::new(),
        id: "q1".into(),
        statement: Payload::Text("READ a".into()),
        after: None,
        limit: 4_000_000,
        connection_wait: 3_000_000,
    })
}

fn frames(stream: TcpStream) -> FrameStream {
    let limits = PeerLimits::default().budget();
    FrameStream::new(stream, &Ledger::new(limits, Rc::default()).open_reserved(None))
}

async fn streams() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let near = TcpStream::connect(address).await.expect("a connection");
    let (far, _) = listener.accept().await.expect("a connection");
    (near, far)
}

/// Guards against a call that an earlier version cannot decode: it decodes the whole body as a call.
#[test]
fn send_adds_sections_that_earlier_versions_ignore() {
    smol::block_on(async {
        let (near, mut far) = streams().await;
        let mut sections = Sections::default();
        sections.insert(SectionKind::Urgency, &urgency(0, 500, 20)).expect("numbers");
        frames(near).send(&call(), &sections).await.expect("it is sent");
        let mut length = [0; 4];
        far.read_exact(&mut length).await.expect("a length");
        let mut body = vec![0; u32::from_be_bytes(length) as usize];
        far.read_exact(&mut body).await.expect("a body");
        let Ok(Call::Run(decoded)) = postcard::from_bytes::<Call>(&body) else {
            panic!("an earlier version does not decode the call")
        };
        assert_eq!((&*decoded.id, decoded.limit), ("q1", 4_000_000));
    });
}

/// Guards against a call of an earlier version, or one with bytes that are no sections, that this version does not decode.
#[test]
fn receive_accepts_calls_without_sections() {
    smol::block_on(async {
        for rest in [&[][..], &[0xff; 9][..]] {
            let (mut near, far) = streams().await;
            let mut body = postcard::to_stdvec(&call()).expect("a call");
            body.extend(rest);
            let length = u32::try_from(body.len()).expect("a short body").to_be_bytes();
            near.write_all(&[&length[..], &body].concat()).await.expect("it is sent");
            let (_, sections) = frames(far).receive::<Call>().await.expect("a call");
            assert_eq!(sections.get::<CallUrgency>(SectionKind::Urgency), None);
        }
        let (near, far) = streams().await;
        let mut sections = Sections::default();
        sections.insert(SectionKind::Urgency, &urgency(2, 500, 20)).expect("numbers");
        frames(near).send(&call(), &sections).await.expect("it is sent");
        let (_, sections) = frames(far).receive::<Call>().await.expect("a call");
        assert_eq!(sections.get(SectionKind::Urgency), Some(urgency(2, 500, 20)));
    });
}

/// Guards against callers of an earlier version that starve beside urgent ones, or starve them.
#[test]
fn next_serves_requests_with_and_without_urgency() {
    let mut order = SlotOrder::default();
    order.set_slots(1);
    let names = [Workspace::new("old"), Workspace::new("new")];
    let mut now = 0;
    let mut served = [0; 2];
    while now < 6_000 {
        for _ in 0..2 {
            // Some are refused, because there are more than can be served.
            let _ = order.push(&request(&names[0], None, now + 3000), 0, at(now));
            let urgent = urgency(0, 500, 0);
            let _ = order.push(&request(&names[1], Some(urgent), now + 3000), 1, at(now));
        }
        for _ in 0..2 {
            let (next, _) = order.next(at(now), Duration::ZERO, |_| false);
            let next = next.expect("requests wait");
            now += 10;
            order.finish(next.ticket, at(now));
            served[next.item] += 1;
        }
    }
    assert!(served.iter().all(|count| *count > 240), "{served:?}");
}

/// Guards against refused callers that are all told the same time, against urgent ones that are told a later one, and against
/// bookings for requests that go to another member.
#[test]
fn push_refuses_with_a_time_of_return() {
    let mut order = SlotOrder::default();
    order.set_slots(1);
    let name = Workspace::new("w");
    let mut refuse = |urgency: CallUrgency, until: u64| {
        loop {
            if let Err(no_slot) = order.push(&request(&name, Some(urgency), until), (), at(0)) {
                return no_slot;
            }
        }
    };
    let elsewhere = CallUrgency { is_final: false, ..urgency(1, 800, 0) };
    let first = refuse(elsewhere, 40);
    assert!(first.is_expected && first.wait >= 40_000, "{first:?}");
    assert_eq!(refuse(elsewhere, 40), first, "a request that goes to another member is not booked");
    let times: Vec<u64> = (0..3).map(|_| refuse(urgency(1, 800, 0), 300).return_after).collect();
    assert!(times.windows(2).all(|pair| pair[0] < pair[1]), "{times:?}");
    let urgent = CallUrgency { left: 40_000, ..urgency(0, 0, 0) };
    assert!(refuse(urgent, 40).return_after < times[0]);
}

/// Guards against a retry delay that does not depend on what the caller has to wait for, and against one that changes although the
/// feature is off.
#[test]
fn refusals_follow_the_cause() {
    let limit = Duration::from_secs(4);
    let used = Duration::from_millis(100);
    let req = |id| RefusedRequest { id, priority: 1, used, limit };
    let (workspace, group) = ("w".into(), "g".into());
    let delays = |enabled| {
        let refusals = Refusals::new(enabled, at(0));
        let wait = Duration::from_millis(300);
        [
            refusals.for_tokens(&req("a"), &workspace, wait, 10.0, at(50)),
            refusals.for_tokens(&req("b"), &workspace, wait, 10.0, at(50)),
            refusals.for_failover(&req("c"), &group, Duration::from_millis(30), at(50)),
            refusals.for_capacity(&req("d"), Some(Duration::from_millis(70)), used),
            refusals.for_start(&req("e"), at(50)),
            refusals.for_stop(&req("f"), at(50)),
        ]
    };
    assert_eq!(delays(false).map(|delay| delay.as_millis()), [300, 300, 500, 500, 500, 20]);
    let [tokens, next, failover, capacity, start, stop] =
        delays(true).map(|delay| delay.as_millis());
    assert!((300..=400).contains(&tokens) && (400..=500).contains(&next), "{tokens} {next}");
    assert!((2900..=3630).contains(&failover) && (1950..=2440).contains(&start));
    assert!(capacity == 70 && (20..=25).contains(&stop));
}

/// Guards against callers that return together, because their numbers are equal, and against a kind of work that differs between
/// instances.
#[test]
fn jitter_and_kinds_differ() {
    let numbers: Vec<f64> = (0..100).map(|number| jitter(&format!("q{number}"))).collect();
    assert!(numbers.iter().all(|number| (0.0..1.0).contains(number)));
    assert!((0.4..0.6).contains(&(numbers.iter().sum::<f64>() / 100.0)));
    let kind = |database: &str, work| work_kind(&database.into(), work);
    assert_eq!(kind("ledger", Work::Read), kind("ledger", Work::Read));
    assert_ne!(kind("ledger", Work::Read), kind("ledger", Work::Write));
    assert_ne!(kind("ledger", Work::Begin), kind("album", Work::Begin));
}

/// Guards against a caller that returns and takes a token before those that waited, and against one that waits although there are
/// enough for all.
#[test]
fn token_order_serves_those_that_wait_first() {
    let mut order = TokenOrder::default();
    assert!(order.may_pass(1, at(1000), 0.0));
    let (first, _) = order.enter(1, at(1000));
    let (second, notified) = order.enter(1, at(1100));
    assert!(order.is_in_turn(&first, 1.0) && !order.is_in_turn(&second, 1.0));
    assert!(!order.may_pass(1, at(1200), 1.0), "one that returns");
    assert!(order.may_pass(0, at(1200), 1.0), "one that is more urgent");
    assert!(order.may_pass(1, at(1200), 3.0), "tokens for all");
    let becomes_first = notified.listen();
    order.leave(&first);
    assert!(becomes_first.now_or_never().is_some() && order.is_in_turn(&second, 1.0));
}
