//! Stand-in for the platform's store: objects by kind and name under one revision, lists, watches, conditional writes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Conn;
use crate::http::Message;
use crate::json;

/// Maximum size of the objects in one page of a list.
const PAGE_BYTES: usize = 1024 * 1024;
/// Time of one answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<String, BTreeMap<String, Object>>,
    history: Vec<Change>,
}

/// An object; `spec` and `status` are JSON as it was written, byte for byte.
#[derive(Clone, Default)]
struct Object {
    name: String,
    revision: u64,
    created: u64,
    spec: Vec<u8>,
    status: Vec<u8>,
}

struct Change {
    kind: String,
    object: Object,
    is_deleted: bool,
}

struct Answer {
    status: u16,
    body: Vec<u8>,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let shared = Arc::new(Shared::default());
        shared.state.lock().expect("not poisoned").revision = 1;
        let store = Store { address, shared };
        let served = store.clone();
        http::listen(listener, move |conn| served.serve(conn));
        store
    }

    /// Writes an object's `Spec`, as the operator, an engine or another writer does.
    pub fn put(&self, kind: &str, name: &str, spec: &[u8]) {
        let mut state = self.shared.state.lock().expect("not poisoned");
        let known = state.objects.get(kind).and_then(|objects| objects.get(name)).cloned();
        let mut object = known.unwrap_or_else(|| Object {
            name: name.to_owned(),
            status: b"null".to_vec(),
            ..Object::default()
        });
        object.spec = spec.to_vec();
        self.write(&mut state, kind, object, false);
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.shared.state.lock().expect("not poisoned");
        let known = state.objects.get(kind).and_then(|objects| objects.get(name)).cloned();
        if let Some(object) = known {
            self.write(&mut state, kind, object, true);
        }
    }

    fn write(&self, state: &mut State, kind: &str, mut object: Object, is_deleted: bool) {
        state.revision += 1;
        object.revision = state.revision;
        if object.created == 0 {
            object.created = state.revision;
        }
        let objects = state.objects.entry(kind.to_owned()).or_default();
        if is_deleted {
            objects.remove(&object.name);
        } else {
            objects.insert(object.name.clone(), object.clone());
        }
        state.history.push(Change { kind: kind.to_owned(), object, is_deleted });
        self.shared.changed.notify_all();
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(request)) = conn.read() {
            std::thread::sleep(ANSWER_TIME);
            let Answer { status, body } = self.answer(&request);
            let headers =
                [("Content-Type", "application/json".to_owned()), ("Store-Era", "1".to_owned())];
            if conn.write(&format!("HTTP/1.1 {status} -"), &headers, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Answer {
        let (path, query) = request.word(1).split_once('?').unwrap_or((request.word(1), ""));
        // The first two segments are the same in all calls.
        let segments: Vec<&str> = path.split('/').skip(3).collect();
        let body = String::from_utf8_lossy(&request.body);
        match (request.word(0), segments.as_slice()) {
            ("GET", [kind]) => match parameter(query, "Watch") {
                Some(since) => self.watch(kind, since, parameter(query, "WaitMs").unwrap_or(0)),
                None => self.list(kind, parameter(query, "SinceRevision")),
            },
            ("POST", [kind]) => self.create(kind, &body),
            ("PUT", [kind, name, rest @ ..]) => self.replace(kind, name, !rest.is_empty(), &body),
            ("DELETE", [kind, name]) => {
                self.delete(kind, name);
                Answer { status: 200, body: b"{}".to_vec() }
            }
            _ => Answer { status: 404, body: b"{}".to_vec() },
        }
    }

    /// Lists a page of the objects whose names follow a name.
    fn list(&self, kind: &str, after: Option<String>) -> Answer {
        let state = self.shared.state.lock().expect("not poisoned");
        let objects = state.objects.get(kind).into_iter().flat_map(BTreeMap::values);
        let mut items: Vec<Vec<u8>> = Vec::new();
        let (mut size, mut has_more) = (0, false);
        for object in objects.filter(|object| Some(&object.name) > after.as_ref()) {
            let item = object.encode();
            size += item.len();
            if !items.is_empty() && size > PAGE_BYTES {
                has_more = true;
                break;
            }
            items.push(item);
        }
        let at = format!("],\"HasMore\":{has_more},\"At\":{}}}", state.revision);
        Answer { status: 200, body: [b"{\"Items\":[", &*items.join(&b','), at.as_bytes()].concat() }
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> Answer {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.shared.state.lock().expect("not poisoned");
        loop {
            let changes = state
                .history
                .iter()
                .filter(|change| change.kind == kind && change.object.revision > since);
            let events: Vec<Vec<u8>> = changes
                .map(|change| {
                    let deleted = format!("{{\"Deleted\":{},\"Object\":", change.is_deleted);
                    [deleted.as_bytes(), &*change.object.encode(), b"}"].concat()
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = format!("],\"At\":{}}}", state.revision);
                let body = [b"{\"events\":[", &*events.join(&b','), at.as_bytes()].concat();
                return Answer { status: 200, body };
            }
            state = self.shared.changed.wait_timeout(state, left).expect("not poisoned").0;
        }
    }

    fn create(&self, kind: &str, body: &str) -> Answer {
        let name = json::field(body, "Metadata").and_then(|metadata| json::field(metadata, "Name"));
        let name = name.map(json::text).unwrap_or_default();
        let spec = json::field(body, "Spec").unwrap_or("null");
        let mut state = self.shared.state.lock().expect("not poisoned");
        if let Some(known) = state.objects.get(kind).and_then(|objects| objects.get(name)) {
            return Answer { status: 409, body: known.encode() };
        }
        let object = Object {
            name: name.to_owned(),
            spec: spec.as_bytes().to_vec(),
            status: b"null".to_vec(),
            ..Object::default()
        };
        self.write(&mut state, kind, object.clone(), false);
        Answer { status: 200, body: object.encode() }
    }

    fn replace(&self, kind: &str, name: &str, is_status: bool, body: &str) -> Answer {
        let wanted =
            json::field(body, "Metadata").and_then(|metadata| json::field(metadata, "Revision"));
        let wanted: Option<u64> = wanted.and_then(|revision| revision.trim().parse().ok());
        let part = json::field(body, if is_status { "Status" } else { "Spec" }).unwrap_or("null");
        let mut state = self.shared.state.lock().expect("not poisoned");
        let known = state.objects.get(kind).and_then(|objects| objects.get(name)).cloned();
        let Some(mut object) = known else {
            return Answer { status: 404, body: b"{}".to_vec() };
        };
        if wanted.is_some_and(|wanted| wanted != object.revision) {
            return Answer { status: 409, body: object.encode() };
        }
        let target = if is_status { &mut object.status } else { &mut object.spec };
        *target = part.as_bytes().to_vec();
        self.write(&mut state, kind, object.clone(), false);
        Answer { status: 200, body: object.encode() }
    }
}

impl Object {
    fn encode(&self) -> Vec<u8> {
        let Object { name, revision, created, spec, status } = self;
        let metadata = format!(
            "{{\"Metadata\":{{\"Name\":\"{name}\",\"Revision\":{revision},\"Created\":{created},\
             \"Finalizers\":[],\"DeletionPending\":false}},\"Spec\":"
        );
        [metadata.as_bytes(), &**spec, b",\"Status\":", &**status, b"}"].concat()
    }
}

fn parameter<T: FromStr>(query: &str, name: &str) -> Option<T> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(known, _)| *known == name).find_map(|(_, value)| value.parse().ok())
}
