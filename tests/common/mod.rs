//! Starts a small fleet and sends requests to it.

// Each test file uses only some of these functions.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use foxtailhoist_dev::Fleet;
use foxtailhoist_dev::FleetOptions;
use foxtailhoist_edge::ClientSettings;
use foxtailhoist_edge::ClientSettingsBuilder;
use foxtailhoist_standin::DeploymentSpec;
use foxtailhoist_standin::EngineFaults;
use reqwest::RequestBuilder;
use reqwest::Response;
use serde_json::Value;
use serde_json::json;

/// Maximum wait for any condition or response; a test that reaches it fails.
pub const TIMEOUT: Duration = Duration::from_secs(30);
/// Poll interval of [`eventually`].
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Merrimack's stand-ins with fast engines.
pub fn fast_engines() -> DeploymentSpec {
    let mut spec = DeploymentSpec::merrimack();
    for engine in &mut spec.engines {
        engine.prefill_tokens_per_second = 1e9;
        engine.decode_ms = 5.0;
        engine.decode_ms_per_extra = 0.0;
    }
    spec
}

/// Timeouts to backend servers that are short enough for tests of silent connections.
pub fn short_timeouts() -> ClientSettings {
    ClientSettingsBuilder::new()
        .head_timeout(Duration::from_secs(1))
        .idle_timeout(Duration::from_secs(1))
        .probe_timeout(Duration::from_secs(2))
        .build()
}

pub fn options(hosts: u64) -> FleetOptions {
    FleetOptions {
        deployment: fast_engines(),
        hosts,
        client: short_timeouts(),
        ..FleetOptions::default()
    }
}

pub async fn fleet(hosts: u64) -> Fleet {
    Fleet::start(options(hosts)).await.expect("the fleet starts")
}

pub fn callers(fleet: &Fleet, host: usize) -> SocketAddr {
    fleet.servers[host].addresses().callers
}

pub fn operators(fleet: &Fleet, host: usize) -> SocketAddr {
    fleet.servers[host].addresses().operators
}

pub fn chat_body(text: &str, tokens: u32, stream: bool) -> Value {
    json!({
        "messages": [{ "role": "user", "content": text }],
        "max_tokens": tokens,
        "stream": stream,
    })
}

/// A chat completion request of a workspace.
pub fn chat(address: SocketAddr, workspace: &str, body: &Value) -> RequestBuilder {
    reqwest::Client::new()
        .post(format!("http://{address}/v1/chat/completions"))
        .bearer_auth(format!("key-{workspace}"))
        .json(body)
}

/// A renewal request of a workspace.
pub fn renew(address: SocketAddr, workspace: &str, key: &str) -> RequestBuilder {
    reqwest::Client::new()
        .post(format!("http://{address}/v1/services/crock-app/renew"))
        .bearer_auth(format!("key-{workspace}"))
        .header("idempotency-key", key)
        .json(&json!({ "household": 7 }))
}

/// Sends an operator's command and returns the reply.
pub async fn command(address: SocketAddr, command: &Value) -> Value {
    let request = reqwest::Client::new()
        .post(format!("http://{address}/v1/operator"))
        .bearer_auth("key-ada")
        .json(command);
    send(request).await.json().await.expect("the reply is JSON")
}

pub async fn send(request: RequestBuilder) -> Response {
    let answer = tokio::time::timeout(TIMEOUT, request.send()).await.expect("an answer in time");
    answer.expect("an answer")
}

pub async fn text(answer: Response) -> String {
    let text =
        tokio::time::timeout(TIMEOUT, answer.text()).await.expect("the end of the body in time");
    text.expect("a complete body")
}

pub fn header(answer: &Response, name: &str) -> String {
    let value = answer.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Error kind of a refusal, and whether the request ran.
pub fn refusal(answer: &Response) -> (String, String) {
    (header(answer, "x-error-kind"), header(answer, "x-ran"))
}

/// Waits until a condition is met.
pub async fn eventually(what: &str, mut is_met: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !is_met().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    assert!(tokio::time::timeout(TIMEOUT, wait).await.is_ok(), "not in time: {what}");
}

pub fn set_engine_faults(fleet: &Fleet, faults: &EngineFaults) {
    for engine in &fleet.deployment.engines {
        engine.set_faults(faults.clone());
    }
}

/// Number of attempts that started on any engine.
pub fn started(fleet: &Fleet) -> u64 {
    fleet.deployment.engines.iter().map(|engine| engine.stats().started).sum()
}

/// Number of requests that the servers of plain services ran.
pub fn runs(fleet: &Fleet) -> u64 {
    fleet.deployment.services.iter().map(|service| service.renewal_counts().total).sum()
}

/// A streamed answer, read completely.
#[derive(Debug, Default)]
pub struct Streamed {
    /// Text of all chunks.
    pub text: String,
    /// Number of chunks with text.
    pub chunks: usize,
    pub done: bool,
    /// Payload of the `error` event.
    pub error: Option<Value>,
}

/// Parses the events of a stream.
pub fn events(body: &str) -> Streamed {
    let mut streamed = Streamed::default();
    for event in body.split("\n\n") {
        let payload = event.lines().find_map(|line| line.strip_prefix("data: "));
        match payload {
            None => {}
            Some("[DONE]") => streamed.done = true,
            Some(payload) if event.starts_with("event: error") => {
                streamed.error = Some(serde_json::from_str(payload).expect("error is JSON"));
            }
            Some(payload) => {
                let chunk: Value = serde_json::from_str(payload).expect("a chunk is JSON");
                let content = &chunk["choices"][0]["delta"]["content"];
                if let Some(content) = content.as_str().filter(|content| !content.is_empty()) {
                    streamed.text.push_str(content);
                    streamed.chunks += 1;
                }
            }
        }
    }
    streamed
}
