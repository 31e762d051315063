//! A backend: runs requests, answers its health check and sends heartbeats.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{ask, read_body, read_head};
use crate::record::Record;

/// A request that was run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub target: String,
    pub caller_service: String,
    pub tenant: String,
    pub body_bytes: usize,
}

/// What a backend does with a request, which came over this connection; `None` if it drops it.
pub type Behaviour = Arc<dyn Fn(&Run, &TcpStream) -> Option<(u16, String)> + Send + Sync>;

#[derive(Clone)]
pub struct Backend {
    pub address: SocketAddr,
    pub service: String,
    pub id: String,
    shared: Arc<Shared>,
}

struct Shared {
    runs: Mutex<Vec<Run>>,
    ends: AtomicBool,
    sequence: AtomicU64,
    behaviour: Behaviour,
    record: Record,
}

impl Backend {
    /// Starts a backend that works on each request for this long and answers it with success.
    pub fn start(service: &str, id: &str, work: Duration, record: &Record) -> Backend {
        let name = service.to_owned();
        let behaviour = move |run: &Run, _: &TcpStream| {
            std::thread::sleep(work);
            let mut body = format!("answer to {} of {name}", run.id);
            if let Some((_, length)) = run.target.rsplit_once("bytes=") {
                let length = length.parse().unwrap_or(0);
                while body.len() < length {
                    body.push('.');
                }
            }
            Some((200, body))
        };
        Backend::start_with(service, id, Arc::new(behaviour), record)
    }

    pub fn start_with(service: &str, id: &str, behaviour: Behaviour, record: &Record) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let backend = Backend {
            address: listener.local_addr().unwrap(),
            service: service.to_owned(),
            id: id.to_owned(),
            shared: Arc::new(Shared {
                runs: Mutex::default(),
                ends: AtomicBool::new(false),
                sequence: AtomicU64::new(0),
                behaviour,
                record: record.clone(),
            }),
        };
        let served = backend.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let backend = served.clone();
                std::thread::spawn(move || backend.serve(stream));
            }
        });
        backend
    }

    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().unwrap().clone()
    }

    /// Sends heartbeats to the node beside, every 1.5 s.
    pub fn announce_to(&self, control_plane: SocketAddr, zone: &str, slots: u32) {
        let (backend, zone) = (self.clone(), zone.to_owned());
        std::thread::spawn(move || {
            while !backend.shared.ends.load(Ordering::Relaxed) {
                let sequence = backend.shared.sequence.fetch_add(1, Ordering::Relaxed) + 1;
                let body = format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_remaining\":\"0ms\",\"sequence\":{sequence}}}",
                    backend.service, backend.address
                );
                let request = format!(
                    "PUT /hemlocktack/instances/{} HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
                    backend.id,
                    body.len()
                );
                let _ = ask(control_plane, request.as_bytes(), Duration::from_secs(1));
                std::thread::sleep(Duration::from_millis(1_500));
            }
        });
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_head(&mut reader) {
            let header = |name: &str| request.header(name).unwrap_or_default().to_owned();
            let mut body_bytes = 0;
            if request.target() == "/health" {
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                if writer.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if read_body(&mut reader, &request, |bytes| body_bytes += bytes.len()).is_none() {
                return;
            }
            let id = header("attempt-id");
            let expected = request.header("expected-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                if writer.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let run = Run {
                id: id.clone(),
                target: request.target().to_owned(),
                caller_service: header("caller-service"),
                tenant: header("tenant-name"),
                body_bytes,
            };
            self.shared.record.note(format!(
                "backend {} ({}) runs {} {} body={} caller-service={} tenant={}",
                self.id,
                self.service,
                run.id,
                run.target,
                run.body_bytes,
                run.caller_service,
                run.tenant
            ));
            self.shared.runs.lock().unwrap().push(run.clone());
            let Some((status, body)) = (self.shared.behaviour)(&run, &writer) else {
                return;
            };
            let answer = format!(
                "HTTP/1.1 {status} X\r\nAttempt-Id: {id}\r\nResponse-Signature: {}.{id}\r\nContent-Length: {}\r\n\r\n{body}",
                self.id,
                body.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}
