//! Exchange of the use of services that are short of capacity, once per second.
//!
//! Each host tells the first host by rank of its data centre, which sums and replies with the use of all others. The
//! first hosts of the data centres tell each other. Nothing is sent while no service is short.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::Instant;

use foxtailhoist_model::EntryHostId;
use foxtailhoist_route::fair_share::REPORT_INTERVAL;
use foxtailhoist_route::fair_share::Reporter;
use foxtailhoist_route::fair_share::UseReport;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use tokio::task::spawn_local;

use crate::core::Core;
use crate::gossip::UnreadableMessage;
use crate::gossip::decode_up_to;
use crate::gossip::encode;
use crate::gossip::send;
use crate::log_event::LogEvent;

pub(crate) const SHARES_PATH: &str = "/shares";
/// Maximum size of a message.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// Hosts of the own data centre that are tried in turn.
const MAX_TRIES: usize = 2;

/// Use of services on the reporter's hosts.
#[derive(Debug, Serialize, Deserialize)]
struct Message {
    reporter: Reporter,
    report: UseReport,
}

/// Tells other hosts what is used here, and logs the shares in force, until the process ends.
pub(crate) async fn run(core: Rc<Core>) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let now = Instant::now();
        let (own, centre) = {
            let mut dispatcher = core.dispatcher.borrow_mut();
            let Some(shares) = dispatcher.shares_mut() else {
                continue;
            };
            for share in shares.sweep(now) {
                core.metrics.service_short();
                core.log.write(&LogEvent::ShareInForce { share: &share });
            }
            (shares.own_report(now), shares.centre_report(now))
        };
        if own.is_empty() {
            continue;
        }
        let (ranked, others) = core.feeds.borrow().summing_hosts();
        if ranked.first().is_some_and(|host| *host != core.cfg.host) {
            let reporter = Reporter::Host(core.cfg.host.clone());
            spawn_local(tell_own_centre(core.clone(), ranked, Message { reporter, report: own }));
            continue;
        }
        let reporter = Reporter::DataCentre(core.cfg.data_centre.clone());
        let Some(body) = encode(SHARES_PATH, &Message { reporter, report: centre }) else {
            continue;
        };
        for host in others {
            let entry = core.feeds.borrow().entry(&host).cloned();
            let (core, body) = (core.clone(), body.clone());
            spawn_local(async move {
                if let Some(entry) = entry
                    && let Some(reply) = send(entry.address, SHARES_PATH, body).await
                {
                    merge_reply(&core, &Reporter::DataCentre(entry.data_centre), &reply);
                }
            });
        }
    }
}

/// Tells the first of the hosts that replies.
async fn tell_own_centre(core: Rc<Core>, hosts: Vec<EntryHostId>, message: Message) {
    let Some(body) = encode(SHARES_PATH, &message) else {
        return;
    };
    for host in hosts.into_iter().filter(|host| *host != core.cfg.host).take(MAX_TRIES) {
        let address = core.feeds.borrow().entry(&host).map(|entry| entry.address);
        let Some(address) = address else {
            continue;
        };
        if let Some(reply) = send(address, SHARES_PATH, body.clone()).await {
            merge_reply(&core, &Reporter::Others, &reply);
            return;
        }
    }
}

fn merge_reply(core: &Core, reporter: &Reporter, reply: &[u8]) {
    let mut dispatcher = core.dispatcher.borrow_mut();
    if reply.len() <= MAX_MESSAGE_BYTES
        && let Ok(report) = rmp_serde::from_slice::<UseReport>(reply)
        && let Some(shares) = dispatcher.shares_mut()
    {
        shares.merge(reporter, report, Instant::now());
    }
}

/// Handles the use that another host tells; returns what it is to know.
pub(crate) async fn receive(
    core: &Core,
    sender: IpAddr,
    body: Incoming,
) -> Result<Vec<u8>, UnreadableMessage> {
    let Message { reporter, report } = decode_up_to(core, body, MAX_MESSAGE_BYTES).await?;
    let is_own = core.feeds.borrow().is_reporter(&reporter_name(&reporter)?, sender);
    let mut dispatcher = core.dispatcher.borrow_mut();
    let shares = dispatcher.shares_mut().filter(|_| is_own).ok_or(UnreadableMessage)?;
    let now = Instant::now();
    shares.merge(&reporter, report, now);
    let reply = match &reporter {
        Reporter::Host(host) => shares.report_for(host, now),
        Reporter::DataCentre(_) | Reporter::Others => shares.centre_report(now),
    };
    rmp_serde::to_vec(&reply).map_err(|_| UnreadableMessage)
}

/// Name of the host or the data centre that a message is about; a host speaks for no others than these.
fn reporter_name(reporter: &Reporter) -> Result<String, UnreadableMessage> {
    match reporter {
        Reporter::Host(name) | Reporter::DataCentre(name) => Ok(name.clone()),
        Reporter::Others => Err(UnreadableMessage),
    }
}
