//! Payloads that instances of this version and of earlier ones exchange.

use hibiscusladder_gateway::{
    directory::Directory,
    message::{Datagram, Extension, RosterVersion, SectionKind, Sections, Status, decode, encode},
    relay::{compress_directory, decompress_directory},
};
use test_case::test_case;

/// A status message as the version before [`Extension`] sent it.
const EARLIER_STATUS: [u8; 21] =
    [0, 1, b'b', 1, 20, 1, 7, 8, 3, 0, 1, 1, b'p', 0, 1, 2, 1, 2, 1, 2, 0];

fn status() -> Status {
    Status {
        from: "b".into(),
        started: 1,
        sent: 20,
        acknowledged: Some((7, 8)),
        version: 3,
        members_revision: 0,
        groups: vec![hibiscusladder_gateway::message::GroupInfo {
            group: "p".into(),
            leader: None,
            fence: Some((2, true)),
            confirmed: 2,
            suspected: Some(2),
        }],
        demands: Vec::new(),
    }
}

/// Guards against a rolling upgrade in which instances do not understand each other's messages.
#[test]
fn decode_message_of_an_earlier_version() {
    let (datagram, extension, sections) = decode(&EARLIER_STATUS).expect("a message");
    assert_eq!(datagram, Datagram::Status(status()));
    assert_eq!((extension, sections), Default::default());
    let payload = encode(&Datagram::Status(status()), &Extension::default(), &Sections::default());
    let payload = payload.expect("short");
    assert_eq!(payload, EARLIER_STATUS, "an earlier version has to decode it");
}

/// Guards against an extension that earlier versions cannot skip.
#[test]
fn encode_puts_the_extension_last() {
    let extension = Extension {
        roster: Some(RosterVersion { revision: 9, digest: 4 }),
        members: Some(77),
        slow: vec!["i-1".into()],
        unresponsive: vec!["i-2".into()],
    };
    let mut sections = Sections::default();
    let plain = encode(&Datagram::Status(status()), &extension, &sections).expect("short");
    assert!(plain.starts_with(&EARLIER_STATUS));
    sections.insert(SectionKind::Pace, &[3_u8, 4]).expect("it can be encoded");
    let payload = encode(&Datagram::Status(status()), &extension, &sections).expect("short");
    assert!(payload.starts_with(&plain), "a version without sections decodes the rest");
    let decoded = decode(&payload).expect("a message");
    assert_eq!(decoded, (Datagram::Status(status()), extension, sections.clone()));
    assert_eq!(sections.get(SectionKind::Pace), Some([3_u8, 4]));
    assert_eq!(sections.get::<u64>(SectionKind::Lending), None);
}

/// Guards against a malformed packet that ends the process, or whose readable part is lost.
#[test_case(&[]; "empty")]
#[test_case(&[9, 9, 9]; "unknown kind")]
#[test_case(&EARLIER_STATUS[..8]; "cut off")]
#[test_case(&[0xff; 64]; "length beyond the packet")]
fn decode_malformed(payload: &[u8]) {
    assert!(decode(payload).is_err());
}

/// Guards against an extension of a later version that hides the message before it.
#[test]
fn decode_malformed_extension() {
    let mut payload = EARLIER_STATUS.to_vec();
    payload.extend([0xff; 12]);
    let (datagram, extension, sections) = decode(&payload).expect("a message");
    assert_eq!((datagram, extension), (Datagram::Status(status()), Extension::default()));
    assert!(sections.is_empty());
}

/// Guards against a configuration that is lost in transfer, and against bytes that are no configuration.
#[test]
fn decompress_directory_of_compressed() {
    let directory = Directory {
        version: 5,
        routes: Default::default(),
        groups: [(
            "padron".into(),
            hibiscusladder_gateway::directory::GroupLimits { max_connections: 24, cold: None },
        )]
        .into(),
        workspaces: Default::default(),
        keys: [("key".into(), "club-a".into())].into(),
        transaction_idle: std::time::Duration::from_secs(3),
    };
    let compressed = compress_directory(&directory).expect("it can be encoded");
    assert_eq!(decompress_directory(&compressed).expect("it can be decoded").version, 5);
    assert!(decompress_directory(&compressed[..compressed.len() / 2]).is_err());
    assert!(decompress_directory(b"no configuration").is_err());
}
