//! The platform's metadata store, as PROTOCOL.md and the letters tell it: objects by kind and
//! name, one revision counter, conditional writes, watches, `Store-Era`.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, read_message};
use crate::json::{Json, number, table, text};

type Key = (String, String);

#[derive(Clone, Default)]
struct Contents {
    revision: u64,
    objects: BTreeMap<Key, Json>,
    /// Changes in order: revision, key, object, deleted.
    history: Vec<(u64, Key, Json, bool)>,
}

#[derive(Default)]
struct State {
    contents: Contents,
    era: u64,
    is_away: bool,
    connections: Vec<TcpStream>,
    log: Vec<String>,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> (Store, SocketAddr) {
        let store = Store::default();
        store.state.0.lock().unwrap().era = 1;
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    /// The operator's write; the answer is the acknowledgement. `None` while the store is away.
    pub fn write_configuration(&self, configuration: &Json) -> Option<u64> {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if state.is_away {
            return None;
        }
        let revision = state
            .contents
            .write("config", "main", configuration, &Json::Null);
        changed.notify_all();
        Some(revision)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        {
            let mut state = self.state.0.lock().unwrap();
            if state.is_away {
                return;
            }
            if let Ok(copy) = stream.try_clone() {
                state.connections.push(copy);
            }
        }
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let Some((status, body, era)) = self.answer(&request) else {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            };
            let body = body.write();
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Option<(u16, Json, u64)> {
        // An answer takes 4 ms.
        std::thread::sleep(Duration::from_millis(4));
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        if state.is_away {
            return None;
        }
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|part| part.split_once('='))
            .collect();
        let path = path.strip_prefix("/hemlocktack/objects/")?;
        let mut parts = path.split('/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().map(str::to_owned);
        let is_status = parts.next() == Some("status");
        let body = Json::read(&request.body).unwrap_or(Json::Null);
        let expected = body
            .get("metadata")
            .and_then(|metadata| metadata.get("revision"))
            .and_then(Json::as_u64)
            .or_else(|| query.get("revision").and_then(|text| text.parse().ok()));
        let era = state.era;
        let (status, reply) = match (request.method(), name) {
            ("GET", None) => match query.get("watch").and_then(|text| text.parse().ok()) {
                None => (200, state.contents.list(&kind, query.get("after").copied())),
                Some(from) => {
                    if from > state.contents.revision {
                        (410, Json::Null)
                    } else {
                        let wait_ms = query.get("wait_ms").and_then(|text| text.parse().ok());
                        let until = Instant::now() + Duration::from_millis(wait_ms.unwrap_or(0));
                        loop {
                            if state.is_away || state.era != era {
                                return None;
                            }
                            let events = state.contents.events(&kind, from);
                            let left = until.saturating_duration_since(Instant::now());
                            if !events.is_empty() || left.is_zero() {
                                let at = number(state.contents.revision);
                                break (200, table([("events", Json::List(events)), ("at", at)]));
                            }
                            state = changed.wait_timeout(state, left).unwrap().0;
                        }
                    }
                }
            },
            ("GET", Some(name)) => match state.contents.objects.get(&(kind, name)) {
                Some(object) => (200, object.clone()),
                None => (404, Json::Null),
            },
            ("POST", None) => {
                let name = body.get("metadata")?.get("name")?.as_text()?.to_owned();
                match state.contents.objects.get(&(kind.clone(), name.clone())) {
                    Some(object) => (409, object.clone()),
                    None => {
                        let specification =
                            body.get("specification").cloned().unwrap_or(Json::Null);
                        state
                            .contents
                            .write(&kind, &name, &specification, &Json::Null);
                        (201, state.contents.objects[&(kind.clone(), name)].clone())
                    }
                }
            }
            ("PUT", Some(name)) => {
                let key = (kind.clone(), name.clone());
                match state.contents.objects.get(&key).cloned() {
                    None => (404, Json::Null),
                    Some(object)
                        if expected.is_some_and(|expected| expected != revision_of(&object)) =>
                    {
                        (409, object)
                    }
                    Some(object) => {
                        let old = |field: &str| object.get(field).cloned().unwrap_or(Json::Null);
                        let new = |field: &str| body.get(field).cloned().unwrap_or(Json::Null);
                        let (specification, status) = match is_status {
                            true => (old("specification"), new("status")),
                            false => (new("specification"), old("status")),
                        };
                        if specification != old("specification") || status != old("status") {
                            state.contents.write(&kind, &name, &specification, &status);
                        }
                        (200, state.contents.objects[&key].clone())
                    }
                }
            }
            ("DELETE", Some(name)) => {
                let key = (kind.clone(), name.clone());
                match state.contents.objects.get(&key).cloned() {
                    None => (404, Json::Null),
                    Some(object)
                        if expected.is_some_and(|expected| expected != revision_of(&object)) =>
                    {
                        (409, object)
                    }
                    Some(object) => {
                        state.contents.revision += 1;
                        let revision = state.contents.revision;
                        state.contents.objects.remove(&key);
                        state
                            .contents
                            .history
                            .push((revision, key, object.clone(), true));
                        (200, object)
                    }
                }
            }
            _ => (400, Json::Null),
        };
        if request.method() != "GET" || status != 200 {
            let revision = state.contents.revision;
            state.log.push(format!(
                "{} -> {status}, revision {revision}, era {era}",
                request.first_line
            ));
            changed.notify_all();
        }
        Some((status, reply, era))
    }
}

fn revision_of(object: &Json) -> u64 {
    let revision = object
        .get("metadata")
        .and_then(|metadata| metadata.get("revision"));
    revision.and_then(Json::as_u64).unwrap_or(0)
}

impl Contents {
    fn write(&mut self, kind: &str, name: &str, specification: &Json, status: &Json) -> u64 {
        self.revision += 1;
        let key = (kind.to_owned(), name.to_owned());
        let created = self
            .objects
            .get(&key)
            .and_then(|object| object.get("metadata")?.get("created")?.as_u64());
        let object = table([
            (
                "metadata",
                table([
                    ("name", text(name)),
                    ("revision", number(self.revision)),
                    ("created", number(created.unwrap_or(self.revision))),
                    ("finalizers", Json::List(Vec::new())),
                    ("deletion_requested", Json::Bool(false)),
                ]),
            ),
            ("specification", specification.clone()),
            ("status", status.clone()),
        ]);
        self.objects.insert(key.clone(), object.clone());
        self.history.push((self.revision, key, object, false));
        self.revision
    }

    fn list(&self, kind: &str, after: Option<&str>) -> Json {
        let of_kind = self.objects.iter().filter(|((found, _), _)| found == kind);
        let items =
            of_kind.filter(|((_, name), _)| after.is_none_or(|after| name.as_str() > after));
        table([
            (
                "items",
                Json::List(items.map(|(_, object)| object.clone()).collect()),
            ),
            ("has_more", Json::Bool(false)),
            ("at", number(self.revision)),
        ])
    }

    fn events(&self, kind: &str, from: u64) -> Vec<Json> {
        let newer = self
            .history
            .iter()
            .filter(|(revision, (found, _), ..)| *revision > from && found == kind);
        newer
            .map(|(_, _, object, deleted)| {
                table([
                    ("object", object.clone()),
                    ("deleted", Json::Bool(*deleted)),
                ])
            })
            .collect()
    }
}
