//! HTTP routes for callers, operators and peers.

pub mod callers;
mod head;
pub mod operators;
pub mod peers;
mod stream;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Refusal;
use salvo::http::ParseError;
use salvo::prelude::Request;
use salvo::prelude::Router;

use crate::Limits;
use crate::driver::Driver;

/// Routes for callers, with health and readiness checks for the load balancer.
pub fn caller_routes(driver: &Arc<Driver>) -> Router {
    Router::new()
        .push(
            Router::with_path("v1/chat/completions")
                .post(callers::Chat { driver: Arc::clone(driver) }),
        )
        .push(
            Router::with_path("v1/services/{service}/{**path}")
                .goal(callers::ServiceCall { driver: Arc::clone(driver) }),
        )
        .push(Router::with_path("healthz").get(operators::Health))
        .push(Router::with_path("readyz").get(operators::Ready { driver: Arc::clone(driver) }))
}

/// Routes for operators and for scraping metrics.
pub fn operator_routes(driver: &Arc<Driver>) -> Router {
    Router::new()
        .push(
            Router::with_path("v1/operator")
                .post(operators::Command { driver: Arc::clone(driver) }),
        )
        .push(
            Router::with_path("v1/report/burn")
                .get(operators::BurnReport { driver: Arc::clone(driver) }),
        )
        .push(Router::with_path("metrics").get(operators::Scrape { driver: Arc::clone(driver) }))
        .push(Router::with_path("healthz").get(operators::Health))
        .push(Router::with_path("readyz").get(operators::Ready { driver: Arc::clone(driver) }))
}

/// Routes for peers.
pub fn peer_routes(driver: &Arc<Driver>) -> Router {
    Router::new()
        .push(Router::with_path("peer").post(peers::Message { driver: Arc::clone(driver) }))
        .push(
            Router::with_path("peer/metrics")
                .get(peers::MetricsPage { driver: Arc::clone(driver) }),
        )
}

/// Value of a header; `None` if it is absent or not valid text.
pub fn header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.headers().get(name).and_then(|value| value.to_str().ok())
}

/// Reads a body within the limits on its size and time.
pub async fn read_body(req: &mut Request, limits: &Limits) -> Result<Bytes, Refusal> {
    check_header_size(req, limits)?;
    let too_large = || {
        let message = format!("the body is over the limit of {} bytes", limits.body_bytes);
        Refusal::new(ErrorKind::BodyTooLarge, &message)
    };
    let length = header(req, "content-length").and_then(|length| length.parse::<usize>().ok());
    if length.is_some_and(|length| length > limits.body_bytes) {
        return Err(too_large());
    }
    match tokio::time::timeout(limits.body_timeout, req.payload_with_max_size(limits.body_bytes))
        .await
    {
        Ok(Ok(body)) => Ok(body.clone()),
        Ok(Err(ParseError::PayloadTooLarge)) => Err(too_large()),
        Ok(Err(error)) => {
            Err(Refusal::new(ErrorKind::BadRequest, &format!("the body cannot be read: {error}")))
        }
        Err(_) => Err(slow_sender(limits.body_timeout)),
    }
}

fn check_header_size(req: &Request, limits: &Limits) -> Result<(), Refusal> {
    let bytes: usize =
        req.headers().iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if bytes > limits.header_bytes {
        let message = format!("the headers are over the limit of {} bytes", limits.header_bytes);
        return Err(Refusal::new(ErrorKind::BadRequest, &message));
    }
    Ok(())
}

fn slow_sender(timeout: Duration) -> Refusal {
    let message = format!("the body did not arrive within {} ms", timeout.as_millis());
    Refusal::new(ErrorKind::SlowSender, &message)
}
