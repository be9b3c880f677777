//! The platform's metadata store and its promotions, as PROTOCOL.md describes them.
//!
//! Contents are kept as bytes. A list has pages of 500 items or 1 MB at most, and at least one item each.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    json::{self, Value},
    member::Group,
    record::Record,
};

const PAGE_ITEMS: usize = 500;
/// The page size of PROTOCOL.md, 1 MB.
const PAGE_BYTES: usize = 1 << 20;
/// Time from the request of a promotion until the member leads.
const PROMOTE_TIME: Duration = Duration::from_millis(600);
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Vec<u8>,
}

impl Object {
    fn encode(&self, name: &str) -> Vec<u8> {
        let meta = format!(
            "{{\"meta\":{{\"name\":{},\"revision\":{},\"created\":{},\"finalizers\":[],\"terminating\":false}},\"spec\":",
            json::quote(name),
            self.revision,
            self.created
        );
        let mut out = meta.into_bytes();
        out.extend_from_slice(&self.spec);
        out.extend_from_slice(b",\"status\":null}");
        out
    }
}

#[derive(Debug)]
struct Change {
    revision: u64,
    kind: String,
    object: Vec<u8>,
    deleted: bool,
}

#[derive(Debug)]
struct Contents {
    objects: BTreeMap<(String, String), Object>,
    changes: Vec<Change>,
    revision: u64,
}

#[derive(Clone)]
pub struct Store {
    contents: Arc<(Mutex<Contents>, Condvar)>,
    groups: Vec<Arc<Group>>,
    record: Record,
}

impl Store {
    pub fn new(groups: Vec<Arc<Group>>, record: Record) -> Self {
        let contents = Contents { objects: BTreeMap::new(), changes: Vec::new(), revision: 100 };
        Self { contents: Arc::new((Mutex::new(contents), Condvar::new())), groups, record }
    }

    /// Serves the store on a free port until the process ends.
    pub fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve_connection(stream));
            }
        });
        address
    }

    /// Writes an object as the operator, a member or another writer; returns its revision, which is the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &[u8]) -> u64 {
        let (contents, changed) = &*self.contents;
        let mut contents = contents.lock().unwrap();
        let revision = contents.put(kind, name, spec);
        changed.notify_all();
        revision
    }

    fn serve_connection(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = Request::read(&mut reader) {
            let (status, body) = self.answer(&request);
            thread::sleep(ANSWER_TIME);
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let mut answer = head.into_bytes();
            answer.extend_from_slice(&body);
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (&'static str, Vec<u8>) {
        if request.path == "/promote" {
            return self.promote(request);
        }
        let rest = request.path.strip_prefix("/v1/objects/").unwrap_or_default();
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let name = decode(name);
        match request.method.as_str() {
            "GET" if request.parameter("watch").is_some() => self.watch(kind, request),
            "GET" if name.is_empty() => self.list(kind, request),
            "GET" => {
                let contents = self.contents.0.lock().unwrap();
                let key = (kind.to_owned(), name.clone());
                match contents.objects.get(&key) {
                    Some(object) => ("200 OK", object.encode(&name)),
                    None => ("404 Not Found", b"{}".to_vec()),
                }
            }
            _ => self.write(kind, &name, request),
        }
    }

    fn list(&self, kind: &str, request: &Request) -> (&'static str, Vec<u8>) {
        let after = request.parameter("after").map(|after| decode(&after));
        let contents = self.contents.0.lock().unwrap();
        let mut items: Vec<Vec<u8>> = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for ((_, name), object) in contents.objects.iter().filter(|((other, _), _)| other == kind) {
            if after.as_ref().is_some_and(|after| name <= after) {
                continue;
            }
            let item = object.encode(name);
            if !items.is_empty() && (items.len() == PAGE_ITEMS || bytes + item.len() > PAGE_BYTES) {
                more = true;
                break;
            }
            bytes += item.len();
            items.push(item);
        }
        let mut body = b"{\"items\":[".to_vec();
        body.extend_from_slice(&items.join(&b','));
        body.extend_from_slice(
            format!("],\"more\":{more},\"at\":{}}}", contents.revision).as_bytes(),
        );
        if kind == "servers" {
            self.record.line(&format!(
                "list of servers after {:?}: {} items, {bytes} bytes, more {more}",
                after.unwrap_or_default(),
                items.len()
            ));
        }
        ("200 OK", body)
    }

    fn watch(&self, kind: &str, request: &Request) -> (&'static str, Vec<u8>) {
        let number = |name| request.parameter(name).and_then(|value| value.parse::<u64>().ok());
        let since = number("watch").unwrap_or(0);
        let until =
            Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
        let (contents, changed) = &*self.contents;
        let mut contents = contents.lock().unwrap();
        loop {
            if since > contents.revision {
                return ("410 Gone", b"{}".to_vec());
            }
            let new = contents
                .changes
                .iter()
                .filter(|change| change.revision > since && change.kind == kind);
            let events: Vec<Vec<u8>> = new
                .map(|change| {
                    let mut event = b"{\"object\":".to_vec();
                    event.extend_from_slice(&change.object);
                    event
                        .extend_from_slice(format!(",\"deleted\":{}}}", change.deleted).as_bytes());
                    event
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let mut body = b"{\"events\":[".to_vec();
                body.extend_from_slice(&events.join(&b','));
                body.extend_from_slice(format!("],\"at\":{}}}", contents.revision).as_bytes());
                return ("200 OK", body);
            }
            contents = changed.wait_timeout(contents, left).unwrap().0;
        }
    }

    fn write(&self, kind: &str, name: &str, request: &Request) -> (&'static str, Vec<u8>) {
        let body =
            std::str::from_utf8(&request.body).ok().and_then(json::parse).unwrap_or(Value::Null);
        let meta = body.get("meta");
        let meta_name = meta.and_then(|meta| meta.get("name")).and_then(Value::text);
        let name = if name.is_empty() {
            meta_name.unwrap_or_default().to_owned()
        } else {
            name.to_owned()
        };
        let expected = meta.and_then(|meta| meta.get("revision")).and_then(Value::number);
        let expected =
            expected.or_else(|| request.parameter("revision").and_then(|text| text.parse().ok()));
        let spec = json::write(body.get("spec").unwrap_or(&Value::Null)).into_bytes();
        let (contents, changed) = &*self.contents;
        let mut contents = contents.lock().unwrap();
        let key = (kind.to_owned(), name.clone());
        let stored = contents.objects.get(&key).cloned();
        match (request.method.as_str(), &stored) {
            ("POST", Some(stored)) => return ("409 Conflict", stored.encode(&name)),
            ("PUT" | "DELETE", None) => return ("404 Not Found", b"{}".to_vec()),
            ("PUT" | "DELETE", Some(stored))
                if expected.is_some_and(|expected| expected != stored.revision) =>
            {
                return ("409 Conflict", stored.encode(&name));
            }
            ("POST" | "PUT", _) => {
                contents.put(kind, &name, &spec);
            }
            ("DELETE", Some(stored)) => {
                contents.revision += 1;
                let revision = contents.revision;
                let object = stored.encode(&name);
                contents.objects.remove(&key);
                contents.changes.push(Change { revision, kind: key.0, object, deleted: true });
                changed.notify_all();
                return ("200 OK", b"{}".to_vec());
            }
            _ => return ("405 Method Not Allowed", b"{}".to_vec()),
        }
        changed.notify_all();
        ("200 OK", contents.objects[&(kind.to_owned(), name.clone())].encode(&name))
    }

    fn promote(&self, request: &Request) -> (&'static str, Vec<u8>) {
        let body =
            std::str::from_utf8(&request.body).ok().and_then(json::parse).unwrap_or(Value::Null);
        let field = |name| body.get(name).and_then(Value::text).unwrap_or_default().to_owned();
        let (service, id) = (field("service"), field("id"));
        self.record.line(&format!("promote {service} {id}"));
        let group = self.groups.iter().find(|group| group.name() == service).cloned();
        let Some(group) = group.filter(|group| group.is_running(&id)) else {
            return ("409 Conflict", b"{}".to_vec());
        };
        thread::spawn(move || {
            thread::sleep(PROMOTE_TIME);
            group.promote(&id);
        });
        ("200 OK", b"{}".to_vec())
    }
}

impl Contents {
    /// Writes an object unless it has this content already.
    fn put(&mut self, kind: &str, name: &str, spec: &[u8]) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(stored) = self.objects.get(&key).filter(|stored| stored.spec == spec) {
            return stored.revision;
        }
        self.revision += 1;
        let revision = self.revision;
        let created = self.objects.get(&key).map_or(revision, |stored| stored.created);
        let object = Object { revision, created, spec: spec.to_vec() };
        let encoded = object.encode(name);
        self.objects.insert(key, object);
        self.changes.push(Change {
            revision,
            kind: kind.to_owned(),
            object: encoded,
            deleted: false,
        });
        revision
    }
}

struct Request {
    method: String,
    path: String,
    query: String,
    body: Vec<u8>,
}

impl Request {
    fn read<R>(reader: &mut R) -> Option<Self>
    where
        R: BufRead,
    {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let mut words = line.split_whitespace();
        let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
        let mut length = 0;
        loop {
            let mut header = String::new();
            reader.read_line(&mut header).ok().filter(|read| *read > 0)?;
            let Some((name, value)) = header.trim_end().split_once(':') else { break };
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().ok()?;
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        Some(Self { method, path: path.to_owned(), query: query.to_owned(), body })
    }

    fn parameter(&self, name: &str) -> Option<String> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
    }
}

/// Decodes a name in a URL.
fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
