//! Servers, clients and attempts that the tests share.

// Each test file uses only some of these.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use foxtailhoist_edge::AttemptOutput;
use foxtailhoist_edge::AttemptRequest;
use foxtailhoist_edge::AttemptStart;
use foxtailhoist_edge::BackendApi;
use foxtailhoist_edge::ClientSettings;
use foxtailhoist_edge::ClientSettingsBuilder;
use foxtailhoist_edge::CompletionRequest;
use foxtailhoist_edge::HttpBackend;
use foxtailhoist_edge::Message;
use foxtailhoist_model::AttemptId;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Priority;
use foxtailhoist_route::event::AnswerSummary;
use foxtailhoist_route::event::AttemptFailure;
use foxtailhoist_standin::EngineServer;
use foxtailhoist_standin::EngineSpec;
use futures::StreamExt;

pub const ANY_PORT: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

/// A complete answer, as a caller would have received it.
#[derive(Debug)]
pub struct Received {
    pub status: u16,
    pub payloads: Vec<Bytes>,
    pub tokens: u32,
    pub summary: AnswerSummary,
}

/// A failure, and the tokens received before it.
#[derive(Debug, PartialEq, Eq)]
pub struct FailedAnswer {
    pub tokens: u32,
    pub failure: AttemptFailure,
}

pub fn version() -> ModelVersion {
    ModelVersion::new("levain-small", "v1")
}

/// An engine fast enough for tests.
pub fn fast_engine() -> EngineSpec {
    EngineSpec {
        loaded: [version()].into(),
        decode_ms: 1.0,
        decode_ms_per_extra: 0.0,
        prefill_tokens_per_second: 1_000_000.0,
        acceptable: 1.0,
        load_lag_ms: 0,
        cache_lag_ms: 0,
        lost_event_share: 0.0,
        ..EngineSpec::default()
    }
}

pub async fn start(spec: EngineSpec) -> EngineServer {
    EngineServer::start(ANY_PORT.into(), spec, None).await.unwrap()
}

/// Timeouts short enough for tests; only the timeout of the fault under test is reached.
pub fn short_timeouts() -> ClientSettings {
    ClientSettingsBuilder::new()
        .head_timeout(Duration::from_millis(400))
        .idle_timeout(Duration::from_millis(400))
        .probe_timeout(Duration::from_secs(5))
        .build()
}

pub fn client() -> HttpBackend {
    HttpBackend::new(short_timeouts())
}

pub fn chat(address: SocketAddr, attempt: AttemptId, prompt: &str) -> AttemptRequest {
    let request = CompletionRequest {
        model: "levain-small".to_owned(),
        messages: vec![Message::new("system", "You advise bakers."), Message::new("user", prompt)],
        stream: false,
        max_tokens: Some(8),
    };
    AttemptRequest {
        attempt,
        address,
        model_version: Some(version()),
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        body: serde_json::to_vec(&request).unwrap().into(),
        content_type: "application/json".to_owned(),
        streamed: false,
        priority: Priority::Normal,
        remaining: Duration::from_secs(30),
        first_byte_timeout: Duration::from_millis(400),
        resume_after: 0,
        idempotency_key: None,
    }
}

pub fn streamed(request: AttemptRequest, max_tokens: u32) -> AttemptRequest {
    let mut body: CompletionRequest = serde_json::from_slice(&request.body).unwrap();
    body.stream = true;
    body.max_tokens = Some(max_tokens);
    AttemptRequest {
        body: serde_json::to_vec(&body).unwrap().into(),
        streamed: true,
        first_byte_timeout: Duration::from_secs(5),
        ..request
    }
}

pub fn renewal(address: SocketAddr, attempt: AttemptId, key: &str) -> AttemptRequest {
    AttemptRequest {
        model_version: None,
        path: "/renew".to_owned(),
        body: Bytes::from_static(b"{\"household\": 7}"),
        idempotency_key: Some(key.to_owned()),
        ..chat(address, attempt, "")
    }
}

/// Sends an attempt and reads its answer to the end.
pub async fn run(client: &HttpBackend, request: AttemptRequest) -> Result<Received, FailedAnswer> {
    let start =
        client.start(request).await.map_err(|failure| FailedAnswer { tokens: 0, failure })?;
    read(start).await
}

/// Reads an answer to its end.
pub async fn read(start: AttemptStart) -> Result<Received, FailedAnswer> {
    let AttemptStart { status, mut chunks, .. } = start;
    let mut payloads = Vec::new();
    let mut tokens = 0;
    while let Some(output) = chunks.next().await {
        match output.map_err(|failure| FailedAnswer { tokens, failure })? {
            AttemptOutput::Chunk { bytes, tokens: more } => {
                tokens += more;
                payloads.push(bytes);
            }
            AttemptOutput::End(summary) => {
                return Ok(Received { status, payloads, tokens, summary });
            }
        }
    }
    panic!("the answer ended without an end or a failure");
}
