//! Exchange of evidence on new versions between entry hosts, in rounds, while traffic shifts.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use foxtailhoist_model::ServiceId;
use foxtailhoist_model::VersionId;
use foxtailhoist_rollout::shift::shared::HostEvidence;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;
use tokio::task::spawn_local;

use crate::clock::unix_ms;
use crate::conn::Conn;
use crate::core::Core;

pub(crate) const EVIDENCE_PATH: &str = "/evidence";
/// Interval between rounds; the evidence of a large fleet spreads in about six of them.
const ROUND_INTERVAL: Duration = Duration::from_millis(400);
/// Hosts that get the news of a round.
const FANOUT: usize = 2;
const SEND_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size of a received message.
const MAX_MESSAGE_BYTES: usize = 1024 * 1024;

/// Evidence on the target of one shift.
#[derive(Debug, Serialize, Deserialize)]
struct Message {
    service: ServiceId,
    target: VersionId,
    hosts: Vec<HostEvidence>,
}

/// Passes on evidence until the process ends.
pub(crate) async fn run(core: Rc<Core>) {
    loop {
        tokio::time::sleep(ROUND_INTERVAL).await;
        let messages = news(&core);
        if messages.is_empty() {
            continue;
        }
        let body = match rmp_serde::to_vec(&messages) {
            Ok(body) => Bytes::from(body),
            Err(e) => {
                log::warn!("event=evidence_not_encoded reason={:?}", e.to_string());
                continue;
            }
        };
        let peers = core.feeds.borrow().other_addresses();
        for peer in peers.into_iter().sample(&mut rand::rng(), FANOUT) {
            spawn_local(send(peer, body.clone()));
        }
    }
}

/// Handles a peer's message.
pub(crate) async fn receive(core: &Core, body: Incoming) -> StatusCode {
    let Ok(body) = Limited::new(body, MAX_MESSAGE_BYTES).collect().await else {
        return StatusCode::BAD_REQUEST;
    };
    let Ok(messages) = rmp_serde::from_slice::<Vec<Message>>(&body.to_bytes()) else {
        return StatusCode::BAD_REQUEST;
    };
    for message in messages {
        core.merge_evidence(&message.service, &message.target, message.hosts);
    }
    StatusCode::NO_CONTENT
}

fn news(core: &Core) -> Vec<Message> {
    let mut shifts = core.shifts.borrow_mut();
    let news = shifts.iter_mut().filter_map(|(service, shift)| {
        let hosts = shift.news(&core.cfg.host, unix_ms());
        let target = shift.order().target.clone();
        (!hosts.is_empty()).then(|| Message { service: service.clone(), target, hosts })
    });
    news.collect()
}

/// Sends a message; a peer that misses one gets the next update from another host.
async fn send(peer: SocketAddr, body: Bytes) {
    let exchange = async {
        let mut conn = Conn::open(peer, SEND_TIMEOUT).await.ok()?;
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(EVIDENCE_PATH);
        conn.send(request).await.ok()
    };
    // The outcome makes no difference.
    let _ = tokio::time::timeout(SEND_TIMEOUT, exchange).await;
}
