//! Stand-in of the platform's store: objects by kind and name, one revision, lists, watches and
//! conditional writes. In a drill it is away for a moment and comes back from an earlier copy.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{read_message, response, Message};
use crate::json::{number, table, text, Json};
use crate::record::Record;

type Key = (String, String);

#[derive(Clone, Default)]
struct Contents {
    revision: u64,
    objects: BTreeMap<Key, Json>,
    /// Changes by revision: key, object, whether it was deleted.
    events: Vec<(u64, Key, Json, bool)>,
}

#[derive(Default)]
struct State {
    contents: Contents,
    era: u64,
    is_away: bool,
    connections: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

/// A copy of the store's contents.
pub struct Copy(Contents);

impl Store {
    pub fn start(address: SocketAddr, record: &Record) -> Store {
        let listener = TcpListener::bind(address).expect("the store's address is taken");
        let state = State {
            era: 1,
            ..State::default()
        };
        let store = Store {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                if store.accept(&stream) {
                    std::thread::spawn(move || store.serve(stream));
                }
            }
        });
        store
    }

    pub fn revision(&self) -> u64 {
        self.state.0.lock().unwrap().contents.revision
    }

    /// Takes a copy of the contents.
    pub fn copy(&self) -> Copy {
        Copy(self.state.0.lock().unwrap().contents.clone())
    }

    /// The operator writes the configuration; returns when the store has acknowledged it.
    pub fn write_configuration(&self, specification: &Json) -> Instant {
        let mut state = self.state.0.lock().unwrap();
        self.configure(&mut state, specification)
    }

    fn configure(&self, state: &mut State, specification: &Json) -> Instant {
        write(&mut state.contents, "config", "main", specification.clone());
        let version = specification.get("version");
        let revision = state.contents.revision;
        self.record.line(&format!(
            "operator writes version {version}, acknowledged at revision {revision}"
        ));
        self.state.1.notify_all();
        Instant::now()
    }

    /// The store goes away: connections are reset, and new ones too.
    pub fn go_away(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.is_away = true;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.line(&format!(
            "store    is away, last revision {}",
            state.contents.revision
        ));
        self.state.1.notify_all();
    }

    /// The store comes back from a copy. The operator's tool, which has waited for it, writes again
    /// what was lost, and then its next change. Returns when each was acknowledged.
    pub fn come_back(&self, copy: Copy, writes: &[&Json]) -> Vec<Instant> {
        let mut state = self.state.0.lock().unwrap();
        state.contents = copy.0;
        state.era += 1;
        state.is_away = false;
        let (era, revision) = (state.era, state.contents.revision);
        self.record.line(&format!(
            "store    is back in era {era} with the copy of revision {revision}"
        ));
        writes
            .iter()
            .map(|specification| self.configure(&mut state, specification))
            .collect()
    }

    fn accept(&self, stream: &TcpStream) -> bool {
        let mut state = self.state.0.lock().unwrap();
        if state.is_away {
            return false;
        }
        let _ = stream.set_nodelay(true);
        state.connections.extend(stream.try_clone());
        true
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let Some((status, body, era)) = self.respond(&request) else {
                return;
            };
            let headers = format!("content-type: application/json\r\nstore-era: {era}\r\n");
            let answer = response(status, &headers, &body.to_string());
            if reader.get_mut().write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns `None` if the store goes away before it has answered.
    fn respond(&self, request: &Message) -> Option<(u16, Json, u64)> {
        let target = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parts: Vec<&str> = path.split('/').skip(3).collect();
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned())
        };
        let wanted = |name: &str| parameter(name).and_then(|value| value.parse::<u64>().ok());
        if let ("GET", [kind], Some(after)) = (request.method(), parts.as_slice(), wanted("watch"))
        {
            return self.watch(kind, after, wanted("wait_ms").unwrap_or(0));
        }
        let mut state = self.state.0.lock().unwrap();
        if state.is_away {
            return None;
        }
        let era = state.era;
        let contents = &mut state.contents;
        let before = contents.revision;
        let body = std::str::from_utf8(&request.body)
            .ok()
            .and_then(Json::parse)
            .unwrap_or(Json::Null);
        let expected = body
            .get("metadata")
            .get("revision")
            .number()
            .or(wanted("revision"));
        let (status, answer) = match (request.method(), parts.as_slice()) {
            ("GET", [kind]) => (200, list(contents, kind, parameter("after"))),
            ("GET", [kind, name]) => found(contents, kind, name),
            ("POST", [kind]) => match body.get("metadata").get("name").text() {
                Some(name) if exists(contents, kind, name) => (409, found(contents, kind, name).1),
                Some(name) => (
                    200,
                    write(contents, kind, name, body.get("specification").clone()),
                ),
                None => (400, Json::Null),
            },
            ("PUT" | "DELETE", [kind, name]) if !exists(contents, kind, name) => (404, Json::Null),
            ("PUT" | "DELETE", [kind, name])
                if expected
                    .is_some_and(|expected| expected != revision_of(contents, kind, name)) =>
            {
                (409, found(contents, kind, name).1)
            }
            ("PUT", [kind, name]) => {
                let (_, object) = found(contents, kind, name);
                match object.get("specification") == body.get("specification") {
                    true => (200, object),
                    false => (
                        200,
                        write(contents, kind, name, body.get("specification").clone()),
                    ),
                }
            }
            ("DELETE", [kind, name]) => (200, remove(contents, kind, name)),
            _ => (400, Json::Null),
        };
        let revision = contents.revision;
        if revision != before {
            let what = request.first_line.trim_end_matches(" HTTP/1.1");
            self.record
                .line(&format!("a node writes {what}, revision {revision}"));
            self.state.1.notify_all();
        }
        Some((status, answer, era))
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> Option<(u16, Json, u64)> {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.0.lock().unwrap();
        let era = state.era;
        if !state.is_away && after > state.contents.revision {
            self.record
                .line(&format!("a node watches {kind} from revision {after}: 410"));
            return Some((410, Json::Null, era));
        }
        loop {
            if state.is_away || state.era != era {
                return None;
            }
            let newer = state
                .contents
                .events
                .iter()
                .filter(|event| event.0 > after && event.1 .0 == kind);
            let events: Vec<Json> = newer
                .map(|(_, _, object, deleted)| {
                    table([
                        ("object", object.clone()),
                        ("deleted", Json::Bool(*deleted)),
                    ])
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = number(state.contents.revision);
                return Some((
                    200,
                    table([("events", Json::List(events)), ("at", at)]),
                    era,
                ));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn key(kind: &str, name: &str) -> Key {
    (kind.to_owned(), name.to_owned())
}

fn exists(contents: &Contents, kind: &str, name: &str) -> bool {
    contents.objects.contains_key(&key(kind, name))
}

fn found(contents: &Contents, kind: &str, name: &str) -> (u16, Json) {
    match contents.objects.get(&key(kind, name)) {
        Some(object) => (200, object.clone()),
        None => (404, Json::Null),
    }
}

fn revision_of(contents: &Contents, kind: &str, name: &str) -> u64 {
    found(contents, kind, name)
        .1
        .get("metadata")
        .get("revision")
        .number()
        .unwrap_or(0)
}

fn list(contents: &Contents, kind: &str, after: Option<String>) -> Json {
    let of_kind = contents
        .objects
        .iter()
        .filter(|((known, _), _)| known == kind);
    let behind = of_kind.filter(|((_, name), _)| after.as_ref().is_none_or(|after| name > after));
    let items = behind.map(|(_, object)| object.clone()).collect();
    table([
        ("items", Json::List(items)),
        ("has_more", Json::Bool(false)),
        ("at", number(contents.revision)),
    ])
}

fn write(contents: &mut Contents, kind: &str, name: &str, specification: Json) -> Json {
    contents.revision += 1;
    let revision = contents.revision;
    let metadata = table([
        ("name", text(name)),
        ("revision", number(revision)),
        ("created", number(revision)),
        ("finalizers", Json::List(Vec::new())),
        ("deletion_requested", Json::Bool(false)),
    ]);
    let object = table([
        ("metadata", metadata),
        ("specification", specification),
        ("status", Json::Null),
    ]);
    contents.objects.insert(key(kind, name), object.clone());
    contents
        .events
        .push((revision, key(kind, name), object.clone(), false));
    object
}

fn remove(contents: &mut Contents, kind: &str, name: &str) -> Json {
    contents.revision += 1;
    let object = contents
        .objects
        .remove(&key(kind, name))
        .unwrap_or(Json::Null);
    contents
        .events
        .push((contents.revision, key(kind, name), object.clone(), true));
    object
}
