//! Datagrams that instances exchange, encoded by `postcard`, and the registration of an instance.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use hibiscusladder_core::{
    name::{DataCentre, InstanceId, Workspace},
    share::TokenRequest,
    succession::ContactAges,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    claim_table::StoredPromotion, cold::ColdReport, member_table::LeavingMember, pace::PaceReport,
};

/// One message between two instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// State and demand of the sender, sent at regular intervals.
    Status(Status),
    /// Request for tokens; the answer is a [`TokenTransfer`](Self::TokenTransfer) or nothing.
    #[serde(rename = "Ask")]
    TokenRequest(TokenRequestMessage),
    /// Tokens that the sender has removed from its own allotment.
    #[serde(rename = "Gift")]
    TokenTransfer(TokenTransferMessage),
}

/// Tokens of one workspace that pass to the receiver permanently.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TokenTransferMessage {
    /// Workspace whose operations the tokens admit.
    pub workspace: Box<str>,
    /// Number of tokens, one for each operation.
    pub tokens: f32,
}

/// A request for tokens of one workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TokenRequestMessage {
    /// Workspace whose operations need tokens.
    pub workspace: Box<str>,
    /// Largest number of tokens that the sender can use.
    pub wanted: f32,
    /// Smallest number of tokens that is of use to the sender.
    pub least: f32,
}

impl TokenRequestMessage {
    /// Creates the message for a request.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "requests are multiples of a part that f32 holds exactly"
    )]
    pub fn new(workspace: &Workspace, request: TokenRequest) -> Self {
        let (wanted, least) = (request.wanted as f32, request.least as f32);
        Self { workspace: workspace.as_str().into(), wanted, least }
    }

    /// The request that the message carries.
    pub fn request(&self) -> TokenRequest {
        TokenRequest { wanted: self.wanted.into(), least: self.least.into() }
    }
}

/// Demand and tokens of one workspace at the sender, with the tokens that it transfers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Workspace that the numbers are about.
    pub workspace: Box<str>,
    /// Operations per second that the sender needs tokens for, including its part for the instances that it serves.
    pub rate: f32,
    /// Operations per second at all instances, as far as the sender knows.
    pub total: f32,
    /// Tokens that the sender has, without those that it transfers.
    pub level: f32,
    /// Tokens that the sender transfers to the receiver with this message.
    #[serde(rename = "gift")]
    pub transfer: f32,
}

impl Demand {
    /// Creates the entry of a workspace from rate, total, level and transfer, in this order.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "tokens need no more precision than f32 has"
    )]
    pub fn new(workspace: &Workspace, numbers: [f64; 4]) -> Self {
        let [rate, total, level, transfer] = numbers.map(|number| number as f32);
        Self { workspace: workspace.as_str().into(), rate, total, level, transfer }
    }
}

/// State of one group at the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupInfo {
    /// Name of the group.
    pub group: Box<str>,
    /// Primary of the highest known term; `None` when the sender knows none.
    pub leader: Option<LeaderEntry>,
    /// Term that the replicas are made to hold during a failover, and whether all of them hold it.
    /// `None` when the sender knows of no failover.
    pub fence: Option<(u64, bool)>,
    /// Fence term for which the sender has discarded its leadership proofs and passes on no acknowledgements of lower
    /// terms; 0 for none.
    pub confirmed: u64,
    /// Term of the primary that the sender suspects, because it is unresponsive or stalled.
    pub suspected: Option<u64>,
}

/// Primary of a group, with the age of what the sender knows about it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderEntry {
    /// Member that is the primary.
    pub member: Box<str>,
    /// Term of which the member is the primary.
    pub term: u64,
    /// Age of the newest leadership proof, in microseconds; `None` when the sender has none.
    pub proof_age: Option<u64>,
    /// Newest known position of the primary as term and log sequence number, and its age in microseconds.
    pub position: Option<(u64, u64, u64)>,
}

/// The regular message of an instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the sending instance.
    pub from: Box<str>,
    /// Start of the sender's process on its clock, in nanoseconds.
    pub started: u64,
    /// Sending time on the sender's clock, in nanoseconds.
    pub sent: u64,
    /// `started` and `sent` of the receiver's latest message that reached the sender; `None` before the first.
    #[serde(rename = "answers")]
    pub acknowledged: Option<(u64, u64)>,
    /// Version of the sender's configuration; 0 before the first.
    pub version: u64,
    /// Revision of the newest member entry that the sender has read from the store.
    #[serde(rename = "members")]
    pub members_revision: u64,
    /// All groups that the sender knows.
    pub groups: Vec<GroupInfo>,
    /// Demand of each workspace that has any.
    pub demands: Vec<Demand>,
}

/// Part of a status message that earlier versions do not have. It follows the [`Datagram`] in the same UDP payload, so
/// that earlier versions ignore it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extension {
    /// List of the instances that the sender offers; `None` unless the sender is a hub with a complete list.
    pub roster: Option<RosterVersion>,
    /// Digest of the member entries that the sender has read; `None` unless the sender is a hub.
    pub members: Option<u64>,
    /// Members that are slow to answer the sender's requests, and that the receiver is to poll.
    pub slow: Vec<Box<str>>,
    /// Members that do not answer the sender's polls.
    pub unresponsive: Vec<Box<str>>,
}

/// Kind of a [`Sections`] entry. Kinds keep their numbers from one version to the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u32)]
pub enum SectionKind {
    /// Era of the store.
    Store = 1,
    /// Evacuated data centres.
    Evacuations = 2,
    /// Pace of members.
    Pace = 3,
    /// Capacity of members that instances lend to each other.
    Lending = 4,
    /// Recent records of promotions.
    Promotions = 5,
    /// Members that are leaving.
    Leaving = 6,
    /// Contacts with the store.
    StoreContact = 7,
    /// Instances on a page whose hubs were replaced.
    Replaced = 8,
    /// Positions up to which commits were acknowledged.
    Acknowledged = 9,
    /// Urgency of the request of a call.
    Urgency = 16,
    /// Expected wait and retry delay of a call that got no slot.
    NoSlot = 17,
}

/// Parts of a message that belong to one feature each, by [`SectionKind`]. They follow the [`Extension`] of a datagram, or the
/// call or reply in a frame of a tunnel. A version that does not know a kind skips it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sections(BTreeMap<u32, Box<[u8]>>);

impl Sections {
    /// Whether there is no section.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds a section, in place of an earlier one of this kind.
    ///
    /// # Errors
    ///
    /// The section cannot be encoded.
    pub fn insert<T>(&mut self, kind: SectionKind, section: &T) -> postcard::Result<()>
    where
        T: Serialize,
    {
        self.0.insert(kind as u32, postcard::to_stdvec(section)?.into());
        Ok(())
    }

    /// The section of a kind; `None` when there is none, or when it cannot be decoded.
    pub fn get<T>(&self, kind: SectionKind) -> Option<T>
    where
        T: DeserializeOwned,
    {
        postcard::from_bytes(self.0.get(&(kind as u32))?).ok()
    }
}

/// Content of a [`SectionKind::Pace`] section of a status message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceSection {
    /// The members that the sender knows to be cold; `None` unless it is a hub that limits cold members.
    pub cold: Option<ColdReport>,
    /// The members that holders have found overloaded.
    pub pace: Vec<PaceReport>,
}

/// Eras of the revisions in a [`Status`] and its [`Extension`]. The section is left out while the sender knows of no restore
/// of the store, and all eras are 0 without it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreSection {
    /// Highest era that the sender knows.
    pub era: u64,
    /// Era of [`Status::members_revision`].
    pub members: u64,
    /// Era of the list of instances that the sender offers.
    pub roster: u64,
}

/// Record of a promotion, as the sender knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromotionEntry {
    /// Group of the member.
    pub group: Box<str>,
    /// The record.
    pub promotion: StoredPromotion,
}

/// Recent records of promotions that a hub passes on, so that they survive a data loss of the store and the loss of the
/// claimant. The section is left out while there is none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromotionsSection {
    /// The records, the most recent first.
    pub records: Vec<PromotionEntry>,
}

/// Members that are leaving, as the sender knows it, so that the receiver does not count from when it learns of them. The section
/// is left out while there is none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingSection {
    /// The members, the latest first.
    pub members: Vec<LeavingMember>,
}

/// Ages of the latest contacts with the store that the sender knows of, in milliseconds. The section is left out in fleets
/// without hubs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreContactSection {
    /// Age of the latest contact of a hub; `None` when the sender knows none.
    pub hubs: Option<u64>,
    /// Age of the latest contact of any instance; `None` when the sender knows none.
    pub any: Option<u64>,
}

impl From<ContactAges> for StoreContactSection {
    fn from(ages: ContactAges) -> Self {
        // Rounded up, so that no contact seems later than it was.
        let millis = |age: Duration| u64::try_from(age.as_millis()).unwrap_or(u64::MAX - 1) + 1;
        Self { hubs: ages.hubs.map(millis), any: ages.any.map(millis) }
    }
}

impl From<StoreContactSection> for ContactAges {
    fn from(section: StoreContactSection) -> Self {
        Self {
            hubs: section.hubs.map(Duration::from_millis),
            any: section.any.map(Duration::from_millis),
        }
    }
}

/// Positions up to which commits of groups were acknowledged to callers, so that a receiver that replaces a primary does not
/// promote a member that lacks them. The section is left out while there is none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcknowledgedSection {
    /// Group, term and log sequence number.
    pub positions: Vec<(Box<str>, u64, u64)>,
}

/// Instances of a list that were replaced as hubs. The section is left out while there is none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplacedSection {
    /// Names of the instances.
    pub instances: BTreeSet<InstanceId>,
}

/// Version of a list of instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterVersion {
    /// Revision of the store at which the list was read.
    pub revision: u64,
    /// Digest of the registrations, equal for equal lists.
    pub digest: u64,
}

/// Encodes the payload of a UDP packet.
///
/// # Errors
///
/// The message cannot be encoded.
pub fn encode(
    datagram: &Datagram,
    extension: &Extension,
    sections: &Sections,
) -> postcard::Result<Vec<u8>> {
    let bytes = postcard::to_stdvec(datagram)?;
    if *extension == Extension::default() && sections.is_empty() {
        return Ok(bytes);
    }
    let bytes = postcard::to_extend(extension, bytes)?;
    if sections.is_empty() {
        return Ok(bytes);
    }
    postcard::to_extend(sections, bytes)
}

/// Decodes the payload of a UDP packet. An extension or sections that cannot be decoded are left out.
///
/// # Errors
///
/// The payload does not begin with a [`Datagram`].
pub fn decode(payload: &[u8]) -> postcard::Result<(Datagram, Extension, Sections)> {
    let (datagram, rest) = postcard::take_from_bytes(payload)?;
    let (extension, rest) = postcard::take_from_bytes(rest).unwrap_or_default();
    Ok((datagram, extension, postcard::from_bytes(rest).unwrap_or_default()))
}

/// Entry of an instance in the store, written as JSON. Versions without `replaced` ignore it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistrationEntry {
    /// What the instance has registered.
    #[serde(flatten)]
    pub registration: Registration,
    /// Whether other hubs have taken the place of the instance, so that it becomes a hub after all others of its region.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub replaced: bool,
}

/// Addresses and properties of an instance that the others rely on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Address for datagrams over UDP and for HTTP requests of other instances over TCP.
    pub address: SocketAddr,
    /// Address for tunnels, over which other instances send calls.
    pub tunnels: SocketAddr,
    /// Data centre in which the instance runs.
    pub data_centre: DataCentre,
    /// Computing power, in thousandths of a core.
    pub capacity: u32,
}
