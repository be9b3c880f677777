//! Pages with state of the store that hubs send to followers: the configuration, the members, and the instances.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use hibiscusladder_core::{
    catch_up::{CatchUp, Source, TRANSFER_TIMEOUT},
    clock::Instant,
    name::{InstanceId, MemberId},
    roster::{self, FleetRole},
    store_version::StoreVersion,
};
use hibiscusladder_io::http::{HttpClient, HttpError};
use http_body_util::Full;
use hyper::Request;
use miniz_oxide::{deflate::compress_to_vec, inflate::decompress_to_vec_with_limit};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::json;

use crate::{
    adapter::Platform,
    directory::Directory,
    events::{self, Event},
    message::{Registration, ReplacedSection, SectionKind, Sections},
    node::Node,
    snapshot::MemberEntry,
    sync,
};

/// Path of the configuration, compressed. The number rises when its encoding changes: an instance of another version gets
/// status 404 and reads the store.
pub const DIRECTORY_PATH: &str = "/configuration/2";
/// Path of the [`MembersPage`].
pub const MEMBERS_PATH: &str = "/members";
/// Path of the [`RosterPage`].
pub const ROSTER_PATH: &str = "/instances";
/// Transfers of pages that an instance serves at the same time; others wait.
pub const PARALLEL_TRANSFERS: usize = 8;
/// Level of the compression, which trades time for size.
const COMPRESSION_LEVEL: u8 = 6;
/// Largest size of a configuration.
const MAX_DIRECTORY_BYTES: usize = 16 << 20;
/// Time for which other instances have to have newer data before a hub acts on it; the hub's own watch of the store
/// usually delivers the data earlier.
const HUB_GRACE: Duration = Duration::from_millis(1000);

/// The members, as a hub sends them to an instance that does not watch them.
#[derive(Debug, Serialize, Deserialize)]
pub struct MembersPage {
    /// Revision of the newest entry.
    revision: u64,
    members: Vec<MemberEntry>,
}

impl MembersPage {
    /// Captures the members that this instance has read and that are not missing.
    pub fn capture<P>(node: &Node<P>) -> Self
    where
        P: Platform,
    {
        let members = node.members.borrow();
        let listed = members.iter().filter(|(_, member)| member.lapsed_since.is_none());
        let members = listed.map(|(id, member)| MemberEntry::new(id, &member.record)).collect();
        Self { revision: node.members_version().revision, members }
    }

    /// Encodes the members of this instance, with a section that earlier versions ignore.
    pub fn encode<P>(node: &Node<P>) -> Option<Vec<u8>>
    where
        P: Platform,
    {
        let members = node.members.borrow();
        let listed = members.iter().filter(|(_, member)| member.lapsed_since.is_none());
        let sequences = listed.map(|(_, member)| member.record.sequence).collect();
        let section = MembersSection { era: node.members_version().era, sequences };
        let mut sections = Sections::default();
        sections.insert(SectionKind::Store, &section).ok()?;
        encode_page(&Self::capture(node), &sections)
    }

    /// Applies the entries, unless this instance knows newer ones.
    fn apply<P>(self, section: MembersSection, node: &Rc<Node<P>>)
    where
        P: Platform,
    {
        let now = node.now();
        let version = StoreVersion::new(section.era, self.revision);
        if !node.store_era.record_told(section.era, now) || version < node.members_version() {
            return;
        }
        node.record_members_version(version);
        let listed: Vec<MemberId> = self.members.iter().map(|entry| entry.id.clone()).collect();
        // Earlier versions do not send the numbers.
        let sequences = section.sequences.into_iter().chain(std::iter::repeat(0));
        for (entry, sequence) in self.members.into_iter().zip(sequences) {
            let (id, record) = entry.into_record(sequence);
            sync::apply_member(node, id, record, section.era, now);
        }
        node.members.borrow_mut().lapse_others(&listed, section.era, now);
    }

    /// Digest of the page, equal for equal members.
    pub fn digest(&self) -> u64 {
        roster::digest(&postcard::to_stdvec(&self.members).unwrap_or_default())
    }
}

/// Part of the members' page that earlier versions do not have.
#[derive(Debug, Default, Serialize, Deserialize)]
struct MembersSection {
    /// Era of the page's revision.
    era: u64,
    /// Numbers of the members' reports, in the order of the entries.
    sequences: Vec<u64>,
}

/// Encodes a page, followed by sections as in datagrams.
fn encode_page<T>(page: &T, sections: &Sections) -> Option<Vec<u8>>
where
    T: Serialize,
{
    postcard::to_extend(sections, postcard::to_stdvec(page).ok()?).ok()
}

/// Decodes a page and its sections, which an earlier version does not send.
fn decode_page<T>(body: &[u8]) -> io::Result<(T, Sections)>
where
    T: DeserializeOwned,
{
    let (page, rest) = postcard::take_from_bytes(body).map_err(io::Error::other)?;
    Ok((page, postcard::from_bytes(rest).unwrap_or_default()))
}

/// The instances, as a hub sends them to an instance that does not list them.
#[derive(Debug, Serialize, Deserialize)]
pub struct RosterPage {
    /// Revision of the store at which the list was read.
    revision: u64,
    instances: Vec<(InstanceId, Registration)>,
}

impl RosterPage {
    /// Encodes the list of this instance, with a section that earlier versions ignore; `None` before the list is complete.
    pub fn encode<P>(node: &Node<P>) -> Option<Vec<u8>>
    where
        P: Platform,
    {
        let StoreVersion { era, revision } = node.roster_version().version;
        let page = Self { revision, instances: node.registrations().into_iter().collect() };
        let lost = node.peers.borrow().kept();
        let mut sections = Sections::default();
        sections.insert(SectionKind::Store, &RosterSection { era, lost }).ok()?;
        let instances = node.succession.replaced();
        if !instances.is_empty() {
            sections.insert(SectionKind::Replaced, &ReplacedSection { instances }).ok()?;
        }
        node.knows_fleet().then(|| encode_page(&page, &sections))?
    }

    /// Replaces the list of this instance, unless it has a newer one.
    fn apply<P>(self, sections: &Sections, node: &Node<P>)
    where
        P: Platform,
    {
        let section: RosterSection = sections.get(SectionKind::Store).unwrap_or_default();
        let replaced: ReplacedSection = sections.get(SectionKind::Replaced).unwrap_or_default();
        let version = StoreVersion::new(section.era, self.revision);
        if !node.store_era.record_told(section.era, node.now())
            || version <= node.roster.borrow().version()
        {
            return;
        }
        let own = (node.instance().clone(), node.registration());
        let has_own = self.instances.contains(&own) && !section.lost.contains(&own.0);
        node.roster.borrow_mut().relayed(has_own, version, node.now());
        node.register(&self.instances, replaced.instances);
    }
}

/// Part of the instances' page that earlier versions do not have.
#[derive(Debug, Default, Serialize, Deserialize)]
struct RosterSection {
    /// Era of the page's revision.
    era: u64,
    /// Instances on the page whose registrations the store lacks since it was restored.
    lost: Vec<InstanceId>,
}

/// Compresses a configuration for [`DIRECTORY_PATH`]; `None` if it cannot be encoded.
pub fn compress_directory(directory: &Directory) -> Option<Bytes> {
    let encoded = postcard::to_stdvec(directory).ok()?;
    Some(compress_to_vec(&encoded, COMPRESSION_LEVEL).into())
}

/// Decodes a configuration from [`DIRECTORY_PATH`].
///
/// # Errors
///
/// The bytes are no compressed configuration, or a larger one than 16 MiB.
pub fn decompress_directory(compressed: &[u8]) -> io::Result<Directory> {
    let encoded = decompress_to_vec_with_limit(compressed, MAX_DIRECTORY_BYTES);
    let encoded = encoded.map_err(|error| io::Error::other(error.to_string()))?;
    postcard::from_bytes(&encoded).map_err(io::Error::other)
}

/// Progress of an instance in catching up with newer data of others.
#[derive(Debug)]
pub struct Progress {
    directory: CatchUp,
    members: CatchUp,
}

impl Progress {
    /// Creates the progress of an instance that is up to date.
    pub fn new(own: &InstanceId) -> Self {
        Self { directory: CatchUp::new(own.clone()), members: CatchUp::new(own.clone()) }
    }

    const fn of(&mut self, page: PageKind) -> &mut CatchUp {
        match page {
            PageKind::Directory => &mut self.directory,
            PageKind::Members => &mut self.members,
        }
    }
}

/// Data that an instance may lag behind with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PageKind {
    Directory,
    Members,
}

/// Gets the configuration and the members from instances that have newer ones, or from the store.
///
/// A hub watches the store itself, and does so anew when other instances have had newer data for a while.
pub fn catch_up<P>(node: &Rc<Node<P>>, now: Instant)
where
    P: Platform,
{
    let is_hub = node.role() == FleetRole::Hub;
    node.confirm_directory();
    let directory = node.peers.borrow().ahead(node.version(), now);
    let has_store = || node.topology().is_flat() || node.succession.do_hubs_have_store(now);
    let watches = is_hub && has_store();
    let waits_for_watch = watches && !node.has_unconfirmed_directory();
    catch_up_page(node, PageKind::Directory, &directory, waits_for_watch, now);
    let digest = (!is_hub).then(|| node.members_digest());
    let members = node.peers.borrow().members_ahead(node.members_version(), digest, now);
    catch_up_page(node, PageKind::Members, &members, watches, now);
}

/// Gets a page if any instance has a newer one, as those in `sources` do.
fn catch_up_page<P>(
    node: &Rc<Node<P>>,
    page: PageKind,
    sources: &[InstanceId],
    waits_for_watch: bool,
    now: Instant,
) where
    P: Platform,
{
    let mut progress = node.progress.borrow_mut();
    let catch_up = progress.of(page);
    if sources.is_empty() {
        catch_up.caught_up();
        return;
    }
    if catch_up.lag(now) < if waits_for_watch { HUB_GRACE } else { Duration::ZERO } {
        return;
    }
    if !catch_up.has_asked() {
        node.renew_watches.notify(usize::MAX);
    }
    let Some(source) = catch_up.next_source(sources, now) else { return };
    drop(progress);
    let fetcher = node.clone();
    node.spawn(async move {
        let is_fetched = match (&source, page) {
            (Source::Store, _) => {
                sync::list_now(&fetcher, page == PageKind::Directory).await.is_ok()
            }
            (Source::Instance(name), PageKind::Directory) => fetch_directory(&fetcher, name).await,
            (Source::Instance(name), PageKind::Members) => fetch_members(&fetcher, name).await,
        };
        let mut progress = fetcher.progress.borrow_mut();
        let catch_up = progress.of(page);
        if is_fetched { catch_up.finished() } else { catch_up.failed() }
    });
}

async fn fetch_directory<P>(node: &Node<P>, from: &InstanceId) -> bool
where
    P: Platform,
{
    let decode = decompress_directory;
    let Some(directory) = fetch(node, from, DIRECTORY_PATH, decode).await else { return false };
    node.apply_directory(Rc::new(directory), "instance");
    true
}

async fn fetch_members<P>(node: &Rc<Node<P>>, from: &InstanceId) -> bool
where
    P: Platform,
{
    let decode = decode_page::<MembersPage>;
    let fetched = fetch(node, from, MEMBERS_PATH, decode).await;
    let Some((page, sections)) = fetched else { return false };
    page.apply(sections.get(SectionKind::Store).unwrap_or_default(), node);
    true
}

/// Gets the list of the instances from another instance.
pub async fn fetch_roster<P>(node: &Node<P>, from: &InstanceId)
where
    P: Platform,
{
    if let Some((page, sections)) = fetch(node, from, ROSTER_PATH, decode_page).await {
        RosterPage::apply(page, &sections, node);
    }
}

/// Adds the instances on the list of another instance to the own list.
pub async fn merge_roster<P>(node: &Node<P>, from: &InstanceId)
where
    P: Platform,
{
    let decode = decode_page::<RosterPage>;
    let Some((page, sections)) = fetch(node, from, ROSTER_PATH, decode).await else { return };
    let section: RosterSection = sections.get(SectionKind::Store).unwrap_or_default();
    let told: ReplacedSection = sections.get(SectionKind::Replaced).unwrap_or_default();
    if !node.store_era.record_told(section.era, node.now()) {
        return;
    }
    let mut replaced = node.succession.replaced();
    replaced.extend(told.instances);
    let mut merged = node.registrations();
    for (name, registration) in page.instances {
        merged.entry(name).or_insert(registration);
    }
    node.record_merged_roster();
    node.register(&merged.into_iter().collect::<Vec<_>>(), replaced);
}

/// Gets a page of another instance; a failure is logged.
async fn fetch<P, T, F>(node: &Node<P>, from: &InstanceId, path: &str, decode: F) -> Option<T>
where
    P: Platform,
    F: Fn(&[u8]) -> io::Result<T>,
{
    let address = node.peers.borrow().address(from)?;
    let body = get(address, path).await;
    let fetched = body.and_then(|body| decode(&body));
    if let Err(error) = &fetched {
        let reason = error.to_string();
        events::log(Event::PeerLost, json!({ "instance": from.as_str(), "reason": reason }));
    }
    fetched.ok()
}

async fn get(address: SocketAddr, path: &str) -> io::Result<Bytes> {
    let req = Request::get(path)
        .header(hyper::header::HOST, address.to_string())
        .body(Full::default())
        .map_err(io::Error::other)?;
    let answer = HttpClient::new(&address.to_string())
        .with_max_answer(MAX_DIRECTORY_BYTES)
        .send(req, TRANSFER_TIMEOUT)
        .await;
    let answer = answer.map_err(HttpError::into_io)?;
    if !answer.status().is_success() {
        return Err(io::Error::other(format!("status {}", answer.status())));
    }
    Ok(answer.into_body())
}
