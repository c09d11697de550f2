//! Backend servers over HTTP: attempts, feeds, orders and probes.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;

use foxtailhoist_model::EngineOrder;
use foxtailhoist_model::Priority;
use foxtailhoist_route::event::AttemptFailure;
use futures::future::BoxFuture;
use reqwest::Method;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::header::CONTENT_TYPE;
use tokio::time::timeout;

use crate::answer::AnswerReader;
use crate::api::AttemptRequest;
use crate::api::AttemptStart;
use crate::api::BackendApi;
use crate::api::EngineFeed;
use crate::api::PlatformError;
use crate::call;
use crate::client::ClientPools;
use crate::client::ClientSettings;
use crate::diagnosis;
use crate::diagnosis::Destination;
use crate::diagnosis::Received;
use crate::diagnosis::echoed_attempt;
use crate::headers;

/// Client of the backend servers.
#[derive(Clone, Debug)]
pub struct HttpBackend {
    pools: Arc<ClientPools>,
}

impl HttpBackend {
    #[must_use]
    pub fn new(settings: ClientSettings) -> HttpBackend {
        HttpBackend { pools: Arc::new(ClientPools::new(settings)) }
    }

    async fn start_attempt(&self, attempt: AttemptRequest) -> Result<AttemptStart, AttemptFailure> {
        let request = self.request(&attempt)?;
        let destination = Destination {
            pools: Arc::clone(&self.pools),
            address: attempt.address,
            attempt: attempt.attempt,
            is_engine: attempt.model_version.is_some(),
        };
        let response = wait_for_head(request, &attempt, &destination).await?;
        check_head(&response, &destination)?;
        let answer = AnswerReader::new(response, destination);
        Ok(AttemptStart {
            status: answer.status(),
            content_type: answer.content_type(),
            chunks: answer.into_output(attempt.resume_after),
        })
    }

    fn request(&self, attempt: &AttemptRequest) -> Result<RequestBuilder, AttemptFailure> {
        // An invalid HTTP method is rejected before anything is sent.
        let method = Method::from_bytes(attempt.method.as_bytes())
            .map_err(|_invalid| AttemptFailure::Rejected)?;
        let url = call::url(attempt.address, &attempt.path);
        let mut request = self
            .pools
            .client(attempt.address)
            .request(method, url)
            .header(CONTENT_TYPE, &attempt.content_type)
            .header(headers::ATTEMPT_ID, headers::attempt_id_text(attempt.attempt))
            .header(headers::PRIORITY, priority_text(attempt.priority))
            .header(headers::DEADLINE_MS, attempt.remaining.as_millis().to_string())
            .body(attempt.body.clone());
        if let Some(model_version) = &attempt.model_version {
            request = request.header(headers::MODEL_VERSION, model_version.to_string());
        }
        if attempt.resume_after > 0 {
            request = request.header(headers::RESUME_AFTER, attempt.resume_after);
        }
        if let Some(key) = &attempt.idempotency_key {
            request = request.header(headers::IDEMPOTENCY_KEY, key);
        }
        Ok(request)
    }

    async fn read_feed(&self, server: SocketAddr, after: u64) -> Result<EngineFeed, PlatformError> {
        let url = call::url(server, &format!("/v1/feed?after={after}"));
        let request = self.pools.client(server).get(url);
        let head_timeout = self.pools.settings().head_timeout();
        call::call(&self.pools, server, request, head_timeout).await?.json()
    }

    async fn send_order(
        &self,
        server: SocketAddr,
        order: EngineOrder,
    ) -> Result<(), PlatformError> {
        let request = self.pools.client(server).post(call::url(server, "/v1/orders")).json(&order);
        let head_timeout = self.pools.settings().head_timeout();
        call::call(&self.pools, server, request, head_timeout).await?.check_status()
    }
}

impl BackendApi for HttpBackend {
    fn start(
        &self,
        attempt: AttemptRequest,
    ) -> BoxFuture<'_, Result<AttemptStart, AttemptFailure>> {
        Box::pin(self.start_attempt(attempt))
    }

    fn feed(
        &self,
        server: SocketAddr,
        after: u64,
    ) -> BoxFuture<'_, Result<EngineFeed, PlatformError>> {
        Box::pin(self.read_feed(server, after))
    }

    fn order(
        &self,
        server: SocketAddr,
        order: EngineOrder,
    ) -> BoxFuture<'_, Result<(), PlatformError>> {
        Box::pin(self.send_order(server, order))
    }

    fn probe(&self, server: SocketAddr) -> BoxFuture<'_, Result<(), PlatformError>> {
        Box::pin(async move {
            diagnosis::probe(self.pools.settings(), server, "/healthz").await?.check_status()
        })
    }

    fn retire(&self, server: SocketAddr) {
        self.pools.retire(server);
    }
}

/// Waits for an answer's head. After the timeout the connection stays open while the server is asked about the
/// attempt, and an answer that arrives in the meantime is used.
async fn wait_for_head(
    request: RequestBuilder,
    attempt: &AttemptRequest,
    destination: &Destination,
) -> Result<Response, AttemptFailure> {
    let mut sent = pin!(request.send());
    let result = match timeout(attempt.first_byte_timeout, sent.as_mut()).await {
        Ok(result) => result,
        Err(_elapsed) => tokio::select! {
            result = sent.as_mut() => result,
            failure = destination.diagnose_timeout(received_before_head(attempt)) => {
                return Err(failure);
            }
        },
    };
    match result {
        Ok(response) => Ok(response),
        Err(e) if e.is_connect() => Err(AttemptFailure::Refused),
        Err(_broken) => Err(destination.diagnose_disconnect().await),
    }
}

/// What has arrived before the head. The head of a streamed answer comes with its first token, any other head only once
/// the answer is complete.
fn received_before_head(attempt: &AttemptRequest) -> Received {
    if attempt.streamed { Received::Tokens(attempt.resume_after) } else { Received::Nothing }
}

/// Rejects an answer that belongs to another attempt or reports a failure. The not-run header is trusted only on an
/// answer that echoes the attempt's id.
fn check_head(response: &Response, destination: &Destination) -> Result<(), AttemptFailure> {
    let echoed = echoed_attempt(response.headers());
    let status = response.status().as_u16();
    if echoed != Some(destination.attempt) {
        if echoed.is_none() && status >= 500 {
            return Err(AttemptFailure::ServerError);
        }
        destination.retire();
        return Err(AttemptFailure::WrongAttempt);
    }
    let not_run = response.headers().get(headers::NOT_RUN).is_some_and(|value| value == "1");
    match status {
        503 if not_run => Err(AttemptFailure::Rejected),
        500.. => Err(AttemptFailure::ServerError),
        _ => Ok(()),
    }
}

fn priority_text(priority: Priority) -> &'static str {
    match priority {
        Priority::Batch => "batch",
        Priority::Normal => "normal",
        Priority::Urgent => "urgent",
    }
}
