//! Clients ask for a model by its name on a route whose model the system chooses. What engines run is compared with what was asked
//! for.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use crate::engine::Work;
use crate::fleet;
use crate::fleet::note;
use crate::site;
use crate::site::Site;

/// Requests for each value.
const REQUESTS: usize = 10;
/// Leaves the choice to the system.
const ANY: &str = "*";
/// Models of the route, smallest first, and one that it has not.
const OTHERS: [&str; 3] = ["m1", "m2", "m9"];

pub fn run(folder: PathBuf, trouble: bool) {
    fleet::limit(folder.clone(), Duration::from_secs(100));
    let work = Work {
        slots: 64,
        queue: 192,
        first: Duration::from_millis(100),
        events: 5,
        gap: Duration::from_millis(20),
        body_bytes: 0,
    };
    let site = Site::start(&folder, 3, 6, work);
    if site.start_hosts().is_none() {
        note("the hosts did not get ready");
        drop(site);
        fleet::finish(&folder, 2);
    }
    std::thread::sleep(Duration::from_secs(4));
    let mut asked = BTreeMap::new();
    let mut answered = 0;
    for number in 0..REQUESTS {
        for wanted in [ANY, OTHERS[0], OTHERS[1], OTHERS[2]] {
            let wanted = if trouble { wanted } else { ANY };
            let id = site::fresh_id();
            let more = format!(
                "X-Model: {wanted}\r\nX-Token-Usage: 1460,80\r\nX-Prefix-Hash: 5c1e07a2:800,{id}:250\r\n\
                 Content-Length: 6\r\n\r\nprompt"
            );
            let workspace = number % site::WORKSPACES;
            let text = site::head("POST", "/plan/1", &id, workspace, 25_000, &more);
            let host = number % site.deployment.hosts.len();
            let answer = site::call(site.callers(host), text.as_bytes(), Duration::from_secs(5));
            note(format!("sent {id} for model {wanted}: {} {}", answer.status, answer.error));
            answered += usize::from(answer.status == 200);
            asked.insert(id, wanted);
        }
    }
    let (mut ran, mut changed) = (0, 0);
    for engine in &site.engines {
        for run in engine.runs() {
            ran += 1;
            let is_asked =
                asked.get(&run.id).is_some_and(|wanted| *wanted == ANY || *wanted == run.model);
            changed += usize::from(!is_asked);
            let mark = if is_asked { "" } else { " (not what was asked for)" };
            note(format!("{} ran {} with model {}{mark}", engine.id, run.id, run.model));
        }
    }
    note(format!(
        "{} requests sent, {answered} answered 200, {ran} run, {changed} with another model (allowed 0)",
        asked.len()
    ));
    drop(site);
    let code = match (changed, trouble) {
        (1.., _) => 1,
        (0, false) if answered < asked.len() => 2,
        (0, _) => 0,
    };
    fleet::finish(&folder, code);
}
