//! Clients that the operator does not control send targets with a number sign in them. What servers run is compared with what was
//! sent.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use crate::engine::Work;
use crate::fleet;
use crate::fleet::note;
use crate::site;
use crate::site::Site;

/// Requests of each kind.
const REQUESTS: usize = 10;

pub fn run(folder: PathBuf, trouble: bool) {
    fleet::limit(folder.clone(), Duration::from_secs(60));
    let work = Work {
        slots: 64,
        queue: 192,
        first: Duration::from_millis(300),
        events: 40,
        gap: Duration::from_millis(20),
        body_bytes: 0,
    };
    let site = Site::start(&folder, 3, 3, work);
    if site.start_hosts().is_none() {
        note("the hosts did not get ready");
        drop(site);
        fleet::finish(&folder, 2);
    }
    std::thread::sleep(Duration::from_secs(4));
    let sign = if trouble { "#" } else { "" };
    let mut sent = BTreeMap::new();
    let mut answered = 0;
    for number in 0..REQUESTS {
        let targets = [
            ("POST", format!("/renew/household-{number}{sign}2027-01")),
            ("POST", format!("/renew/household-{number}?hold={sign}{number}&until=2027-01")),
            ("GET", format!("/look/household-{number}?from=1{sign}2")),
            ("GET", format!("/look/household-{number}?from=1")),
        ];
        for (method, target) in targets {
            let id = site::fresh_id();
            let more = if method == "POST" { "Content-Length: 2\r\n\r\nok" } else { "\r\n" };
            let text = site::head(method, &target, &id, number % site::WORKSPACES, 1_000, more);
            let host = number % site.deployment.hosts.len();
            let answer =
                site::call(site.callers(host), text.as_bytes(), Duration::from_millis(1_500));
            note(format!("sent {id}: {method} {target}: {} {}", answer.status, answer.error));
            answered += usize::from(answer.status == 200);
            sent.insert(id, (method.to_owned(), target));
        }
    }
    let (mut ran, mut changed) = (0, 0);
    for server in &site.desks {
        for run in server.runs() {
            ran += 1;
            let is_sent = sent
                .get(&run.id)
                .is_some_and(|(method, target)| *method == run.method && *target == run.target);
            changed += usize::from(!is_sent);
            let mark = if is_sent { "" } else { " (not what was sent)" };
            note(format!("{} ran {}: {} {}{mark}", server.id, run.id, run.method, run.target));
        }
    }
    note(format!(
        "{} requests sent, {answered} answered 200, {ran} run, {changed} with another path or query (allowed 0)",
        sent.len()
    ));
    drop(site);
    let code = match (changed, trouble) {
        (1.., _) => 1,
        (0, false) if answered < sent.len() => 2,
        (0, _) => 0,
    };
    fleet::finish(&folder, code);
}
