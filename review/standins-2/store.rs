//! The platform's store: objects by kind and name, lists, watches and conditional writes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::Conn;

#[derive(Clone, Debug)]
struct Object {
    revision: u64,
    spec: String,
    status: String,
}

#[derive(Default)]
struct Inner {
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, name and the object as it was then; `None` if it was removed.
    history: Vec<(u64, String, String, Option<Object>)>,
    revision: u64,
}

#[derive(Clone)]
pub struct Store {
    inner: Arc<(Mutex<Inner>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(address: SocketAddr) -> Store {
        let listener = TcpListener::bind(address).expect("a free address for the store");
        let address = listener.local_addr().expect("bound");
        let inner = Inner { revision: 100, ..Inner::default() };
        let store = Store { inner: Arc::new((Mutex::new(inner), Condvar::new())), address };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object's `Spec`, as the operator or an engine does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut inner = self.inner.0.lock().expect("not poisoned");
        let status = inner
            .objects
            .get(&(kind.to_owned(), name.to_owned()))
            .map_or("null".to_owned(), |object| object.status.clone());
        let revision = inner.set(kind, name, spec.to_owned(), status);
        self.inner.1.notify_all();
        revision
    }

    fn serve(&self, stream: TcpStream) {
        let mut conn = Conn::new(stream);
        while let Ok(head) = conn.read_head() {
            let Ok(body) = conn.read_body(&head, false) else {
                return;
            };
            let body = String::from_utf8_lossy(&body).into_owned();
            let (status, answer) = self.answer(head.word(0), head.word(1), &body);
            let headers = "Content-Type: application/json\r\nStore-Era: 0\r\n";
            if conn.respond(status, headers, answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let Some(rest) = path.strip_prefix(include_str!("wire/objects.txt").trim_end()) else {
            return (404, "{}".to_owned());
        };
        let mut words = rest.split('/');
        let kind = words.next().unwrap_or("").to_owned();
        let name = words.next().map(decoded);
        let is_status = words.next() == Some("status");
        let (lock, changed) = &*self.inner;
        let mut inner = lock.lock().expect("not poisoned");
        match (method, name) {
            ("GET", None) => {
                let Some(since) = query.get("Watch").and_then(|since| since.parse::<u64>().ok())
                else {
                    return (
                        200,
                        inner.list(&kind, query.get("SinceRevision").map(|n| decoded(n))),
                    );
                };
                if since > inner.revision {
                    return (410, "{}".to_owned());
                }
                let wait = query.get("WaitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let events = inner.events(&kind, since);
                    let now = Instant::now();
                    if !events.is_empty() || now >= until {
                        let at = inner.revision;
                        return (200, format!("{{\"events\":[{}],\"At\":{at}}}", events.join(",")));
                    }
                    inner = changed.wait_timeout(inner, until - now).expect("not poisoned").0;
                }
            }
            ("GET", Some(name)) => match inner.objects.get(&(kind, name.clone())) {
                Some(object) => (200, object.json(&name)),
                None => (404, "{}".to_owned()),
            },
            ("POST", None) => {
                let metadata = field(body, "Metadata").unwrap_or_default();
                let name = unquoted(&field(&metadata, "Name").unwrap_or_default());
                if let Some(object) = inner.objects.get(&(kind.clone(), name.clone())) {
                    return (409, object.json(&name));
                }
                let spec = field(body, "Spec").unwrap_or("null".to_owned());
                inner.set(&kind, &name, spec, "null".to_owned());
                changed.notify_all();
                (201, inner.objects[&(kind, name.clone())].json(&name))
            }
            ("PUT" | "DELETE", Some(name)) => {
                let key = (kind.clone(), name.clone());
                let Some(object) = inner.objects.get(&key).cloned() else {
                    return (404, "{}".to_owned());
                };
                let metadata = field(body, "Metadata").unwrap_or_default();
                let condition =
                    field(&metadata, "Revision").or(query.get("Revision").map(|r| (*r).to_owned()));
                if condition.is_some_and(|revision| revision != object.revision.to_string()) {
                    return (409, object.json(&name));
                }
                if method == "DELETE" {
                    inner.remove(&kind, &name);
                    changed.notify_all();
                    return (200, "{}".to_owned());
                }
                let (spec, status) = if is_status {
                    (object.spec, field(body, "Status").unwrap_or("null".to_owned()))
                } else {
                    (field(body, "Spec").unwrap_or("null".to_owned()), object.status)
                };
                inner.set(&kind, &name, spec, status);
                changed.notify_all();
                (200, inner.objects[&key].json(&name))
            }
            _ => (405, "{}".to_owned()),
        }
    }
}

impl Inner {
    fn set(&mut self, kind: &str, name: &str, spec: String, status: String) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = self.objects.get(&key)
            && known.spec == spec
            && known.status == status
        {
            return known.revision;
        }
        self.revision += 1;
        let object = Object { revision: self.revision, spec, status };
        self.objects.insert(key, object.clone());
        self.history.push((self.revision, kind.to_owned(), name.to_owned(), Some(object)));
        self.revision
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if self.objects.remove(&(kind.to_owned(), name.to_owned())).is_some() {
            self.revision += 1;
            self.history.push((self.revision, kind.to_owned(), name.to_owned(), None));
        }
    }

    fn list(&self, kind: &str, after: Option<String>) -> String {
        let items = self.objects.iter().filter(|((known, name), _)| {
            known == kind && after.as_ref().is_none_or(|after| name > after)
        });
        let items: Vec<String> = items.map(|((_, name), object)| object.json(name)).collect();
        let page = &items[..items.len().min(500)];
        let has_more = items.len() > page.len();
        format!(
            "{{\"Items\":[{}],\"HasMore\":{has_more},\"At\":{}}}",
            page.join(","),
            self.revision
        )
    }

    fn events(&self, kind: &str, since: u64) -> Vec<String> {
        let start = self.history.partition_point(|(revision, ..)| *revision <= since);
        let events = self.history[start..].iter().filter(|(_, known, ..)| known == kind);
        let texts = events.map(|(revision, _, name, object)| match object {
            Some(object) => format!("{{\"Object\":{},\"Deleted\":false}}", object.json(name)),
            None => format!(
                "{{\"Object\":{{\"Metadata\":{{\"Name\":\"{name}\",\"Revision\":{revision}}}}},\"Deleted\":true}}"
            ),
        });
        texts.collect()
    }
}

impl Object {
    fn json(&self, name: &str) -> String {
        let Object { revision, spec, status } = self;
        format!(
            "{{\"Metadata\":{{\"Name\":\"{name}\",\"Revision\":{revision},\"Created\":{revision},\"Finalizers\":[],\"DeletionPending\":false}},\"Spec\":{spec},\"Status\":{status}}}"
        )
    }
}

fn decoded(name: &str) -> String {
    let bytes = name.as_bytes();
    let mut text = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| name.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok()))
            .flatten();
        text.push(code.unwrap_or(bytes[at]));
        at += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&text).into_owned()
}

fn unquoted(text: &str) -> String {
    text.trim_matches('"').to_owned()
}

/// Text of a field of a JSON object.
pub fn field(json: &str, name: &str) -> Option<String> {
    let bytes = json.as_bytes();
    let mut at = 0;
    let skip_string = |mut at: usize| {
        at += 1;
        while at < bytes.len() && bytes[at] != b'"' {
            at += if bytes[at] == b'\\' { 2 } else { 1 };
        }
        at + 1
    };
    let mut depth = 0;
    let mut is_key = false;
    while at < bytes.len() {
        match bytes[at] {
            b'"' if depth == 1 && is_key => {
                let end = skip_string(at);
                let key = json.get(at + 1..end - 1)?;
                at = end;
                while at < bytes.len() && (bytes[at] == b':' || bytes[at].is_ascii_whitespace()) {
                    at += 1;
                }
                let start = at;
                let mut nesting = 0;
                while at < bytes.len() {
                    match bytes[at] {
                        b'"' => {
                            at = skip_string(at);
                            continue;
                        }
                        b'{' | b'[' => nesting += 1,
                        b'}' | b']' if nesting == 0 => break,
                        b'}' | b']' => nesting -= 1,
                        b',' if nesting == 0 => break,
                        _ => {}
                    }
                    at += 1;
                }
                if key == name {
                    return json.get(start..at).map(|value| value.trim().to_owned());
                }
                is_key = false;
            }
            b'"' => at = skip_string(at),
            b'{' => {
                depth += 1;
                is_key = depth == 1;
                at += 1;
            }
            b',' => {
                is_key = depth == 1;
                at += 1;
            }
            b'}' => {
                depth -= 1;
                at += 1;
            }
            _ => at += 1,
        }
    }
    None
}
