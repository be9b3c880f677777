//! Stand-in for the platform's store and for promotions: HTTP/1.1 with JSON bodies, one thread a connection.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{group::Group, json::Json, record::Record};

struct Object {
    revision: u64,
    /// The object's `spec`, as it was written.
    spec: Vec<u8>,
}

struct Change {
    revision: u64,
    kind: String,
    name: String,
    spec: Vec<u8>,
}

#[derive(Default)]
pub struct Objects {
    objects: BTreeMap<(String, String), Object>,
    changes: Vec<Change>,
    revision: u64,
}

/// The store. A front is the address at which one gateway reaches it; a text such as `@2` in an entry stands for the
/// address at which that gateway reaches member 2.
#[derive(Clone)]
pub struct Store {
    objects: Arc<Mutex<Objects>>,
    pub record: Record,
}

impl Store {
    pub fn new(record: Record) -> Self {
        Self { objects: Arc::default(), record }
    }

    fn lock(&self) -> MutexGuard<'_, Objects> {
        self.objects.lock().unwrap()
    }

    /// Writes an object; the return is the store's acknowledgement. An unchanged object gets no new revision.
    pub fn put(&self, kind: &str, name: &str, spec: &[u8]) -> u64 {
        let mut objects = self.lock();
        objects.put(kind, name, spec)
    }

    /// Serves the store on a new port; `members` are the addresses that stand for `@0`, `@1` and so on.
    pub fn serve(&self, group: Group, members: Vec<SocketAddr>) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, group, members) = (store.clone(), group.clone(), members.clone());
                thread::spawn(move || store.serve_connection(stream, &group, &members).ok());
            }
        });
        Ok(address)
    }

    fn serve_connection(
        &self,
        mut stream: TcpStream,
        group: &Group,
        members: &[SocketAddr],
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let mut words = line.split_whitespace();
            let method = words.next().unwrap_or_default().to_owned();
            let target = words.next().unwrap_or_default().to_owned();
            let mut headers = BTreeMap::new();
            loop {
                let mut line = String::new();
                reader.read_line(&mut line)?;
                let Some((name, value)) = line.trim().split_once(':') else { break };
                headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
            let length = headers.get("content-length").and_then(|length| length.parse().ok());
            let mut body = vec![0; length.unwrap_or(0)];
            reader.read_exact(&mut body)?;
            let (status, answer) = self.answer(&method, &target, &headers, &body, group);
            let mut answer = answer;
            for (member, address) in members.iter().enumerate() {
                let placeholder = format!("@{member}@");
                answer = replace(&answer, placeholder.as_bytes(), address.to_string().as_bytes());
            }
            let head = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            stream.write_all(&[head.as_bytes(), &answer].concat())?;
        }
    }

    fn answer(
        &self,
        method: &str,
        target: &str,
        headers: &BTreeMap<String, String>,
        body: &[u8],
        group: &Group,
    ) -> (u16, Vec<u8>) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let body = Json::parse(body).unwrap_or(Json::Null);
        if path == "/promote" {
            let id = body.get("id").and_then(Json::text).unwrap_or_default();
            let fence = headers.get("x-fencing-token").cloned().unwrap_or_default();
            let holder = headers.get("x-lease-holder").cloned().unwrap_or_default();
            let accepted = group.promote(id);
            self.record.write(&format!(
                "platform: POST /promote of {id} by {holder}, fencing token {fence}: {}",
                if accepted { 200 } else { 409 }
            ));
            return (if accepted { 200 } else { 409 }, b"{}".to_vec());
        }
        let Some(rest) = path.strip_prefix("/v1/objects/") else { return (404, b"{}".to_vec()) };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        if method == "GET" {
            return self.read(kind, query);
        }
        let mut objects = self.lock();
        let key = (
            kind.to_owned(),
            match body.get("meta").and_then(|meta| meta.get("name")) {
                Some(name) => name.text().unwrap_or_default().to_owned(),
                None => name.to_owned(),
            },
        );
        let spec = body.get("spec").unwrap_or(&Json::Null).print().into_bytes();
        let wanted = body.get("meta").and_then(|meta| meta.get("revision")).and_then(Json::number);
        let stored = objects.objects.get(&key).map(|object| object.revision);
        match (method, stored) {
            ("POST", Some(_)) => (409, objects.print(&key)),
            ("PUT", None) => (404, b"{}".to_vec()),
            ("PUT", Some(stored)) if wanted.is_some_and(|wanted| wanted as u64 != stored) => {
                (409, objects.print(&key))
            }
            ("POST" | "PUT", _) => {
                objects.put(&key.0, &key.1, &spec);
                let answer = objects.print(&key);
                drop(objects);
                if kind.ends_with("duties") {
                    let spec = String::from_utf8_lossy(&spec).into_owned();
                    self.record.write(&format!("store: claim for {}: {spec}", key.1));
                }
                (200, answer)
            }
            _ => (405, b"{}".to_vec()),
        }
    }

    fn read(&self, kind: &str, query: &str) -> (u16, Vec<u8>) {
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).next()
        };
        let Some(since) = parameter("watch").and_then(|since| since.parse::<u64>().ok()) else {
            let objects = self.lock();
            let after = parameter("after").unwrap_or_default();
            let listed = objects
                .objects
                .keys()
                .filter(|(stored, name)| stored == kind && (after.is_empty() || *name > after));
            let items: Vec<Vec<u8>> = listed.map(|key| objects.print(key)).collect();
            let end = format!("],\"more\":false,\"at\":{}}}", objects.revision);
            return (200, [b"{\"items\":[", &items.join(&b","[..])[..], end.as_bytes()].concat());
        };
        let wait = parameter("wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            {
                let objects = self.lock();
                let changes = objects.changes.iter();
                let changes =
                    changes.filter(|change| change.kind == kind && change.revision > since);
                let events: Vec<Vec<u8>> = changes
                    .map(|change| {
                        let object = print_object(&change.name, change.revision, &change.spec);
                        [b"{\"deleted\":false,\"object\":", &object[..], b"}"].concat()
                    })
                    .collect();
                if !events.is_empty() || Instant::now() >= until {
                    let end = format!("],\"at\":{}}}", objects.revision);
                    let events = events.join(&b","[..]);
                    return (200, [b"{\"events\":[", &events[..], end.as_bytes()].concat());
                }
            }
            thread::sleep(Duration::from_millis(3));
        }
    }
}

impl Objects {
    fn put(&mut self, kind: &str, name: &str, spec: &[u8]) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = self.objects.get(&key).filter(|object| object.spec == spec) {
            return object.revision;
        }
        self.revision += 1;
        let revision = self.revision;
        self.objects.insert(key, Object { revision, spec: spec.to_vec() });
        let (kind, name) = (kind.to_owned(), name.to_owned());
        self.changes.push(Change { revision, kind, name, spec: spec.to_vec() });
        revision
    }

    fn print(&self, key: &(String, String)) -> Vec<u8> {
        let object = &self.objects[key];
        print_object(&key.1, object.revision, &object.spec)
    }
}

fn print_object(name: &str, revision: u64, spec: &[u8]) -> Vec<u8> {
    let start = format!(
        "{{\"meta\":{{\"name\":{},\"revision\":{revision},\"created\":1,\"finalizers\":[],\
         \"terminating\":false}},\"spec\":",
        crate::json::quote(name)
    );
    [start.as_bytes(), spec, b",\"status\":null}"].concat()
}

fn replace(text: &[u8], from: &[u8], to: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(text.len());
    let mut at = 0;
    while at < text.len() {
        if text[at..].starts_with(from) {
            out.extend_from_slice(to);
            at += from.len();
        } else {
            out.push(text[at]);
            at += 1;
        }
    }
    out
}
