//! Reports of overloaded members between holders.

use std::time::Duration;

use hibiscusladder_core::{clock::Instant, name::InstanceId, pace::Outcome};
use hibiscusladder_gateway::{adapter::Target, pace::Paces};

fn at(ms: u64) -> Instant {
    Instant::new(Duration::from_millis(1_000_000 + ms))
}

fn target() -> Target {
    Target { member: "m-1".into(), group: "padron".into(), address: ([10, 0, 0, 1], 80).into() }
}

/// Guards against reports of a holder that do not reach the other one through hubs, come back to their sender, or stay in
/// force when it is gone.
#[test]
fn reports_pass_through_hubs() {
    let [first, second, hub, far_hub] = ["first", "second", "hub", "far-hub"].map(InstanceId::from);
    let holder = || {
        let paces = Paces::new(true);
        let pace = paces.member(&target()).expect("it is on");
        pace.configure(8, at(0));
        for now in 0..40 {
            let service = Duration::from_millis(5);
            pace.record(Outcome::Answered { kind: None, service }, at(now), at(now));
        }
        assert_eq!(pace.limit(at(40)), None);
        (paces, pace)
    };
    let ((sender, sender_pace), (receiver, receiver_pace)) = (holder(), holder());
    for now in 5000..5030 {
        sender_pace.record(Outcome::Rejected, at(now), at(now));
    }
    let sent = sender.reports(&first, &hub, true, at(5030));
    assert_eq!(sent.len(), 1);
    let (near, far) = (Paces::new(true), Paces::new(true));
    near.receive(&sent, &first, (&hub, true), at(5030));
    assert!(near.reports(&hub, &first, false, at(5040)).is_empty(), "it is the sender's own");
    assert_eq!(near.reports(&hub, &second, false, at(5040)), sent);
    far.receive(&near.reports(&hub, &far_hub, true, at(5040)), &hub, (&far_hub, true), at(5040));
    let passed_on = far.reports(&far_hub, &second, false, at(5050));
    assert_eq!(passed_on, sent);
    assert!(far.reports(&far_hub, &hub, true, at(5050)).is_empty(), "hubs do not repeat hubs");
    receiver.receive(&passed_on, &far_hub, (&second, false), at(5060));
    assert_eq!(receiver_pace.limit(at(5060)), Some(1));
    assert!(near.reports(&hub, &second, false, at(6100)).is_empty(), "the holder is silent");
    assert!(Paces::new(false).member(&target()).is_none());
}
