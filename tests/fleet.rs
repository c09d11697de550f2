//! Behaviour across several entry hosts: at-most-once renewals, quarantine, preset switches, bills and the report.

mod common;

use foxtailhoist_dev::Fleet;
use foxtailhoist_report::Report;
use foxtailhoist_standin::EngineFaults;
use foxtailhoist_standin::ObjectApiFaults;
use rstest::rstest;
use serde_json::json;

use common::callers;
use common::chat;
use common::chat_body;
use common::command;
use common::eventually;
use common::fleet;
use common::header;
use common::operators;
use common::refusal;
use common::renew;
use common::runs;
use common::send;
use common::set_engine_faults;

#[rstest]
#[case::store_healthy(false)]
#[case::store_loses_answers(true)]
#[tokio::test]
async fn a_renewal_repeated_on_two_hosts_runs_at_most_once(#[case] lose_answers: bool) {
    let fleet = fleet(2).await;
    fleet
        .deployment
        .object_api
        .set_faults(ObjectApiFaults { lose_answers, ..ObjectApiFaults::default() });
    let mut ran = 0;
    let mut undecided = 0;
    for round in 0..4 {
        let answer = send(renew(callers(&fleet, round % 2), "renewals", "renewal-1")).await;
        match (answer.status().is_success(), header(&answer, "x-ran").as_str()) {
            (true, "ran") => ran += 1,
            (false, "not_run") => {}
            (false, _) => undecided += 1,
            (true, other) => panic!("a successful answer with x-ran: {other}"),
        }
    }
    assert!(runs(&fleet) <= 1, "{} runs", runs(&fleet));
    if ran > 0 {
        assert_eq!(runs(&fleet), 1);
    }
    if !lose_answers {
        assert_eq!((ran, undecided), (4, 0));
    }
    if ran + undecided == 0 {
        assert_eq!(runs(&fleet), 0, "all were refused as not run");
    }
    fleet.deployment.object_api.set_faults(ObjectApiFaults::default());
    fleet.close().await;
}

#[tokio::test]
async fn renewals_without_the_store_are_refused_and_do_not_run() {
    let fleet = fleet(2).await;
    let store = &fleet.deployment.object_api;
    store.set_faults(ObjectApiFaults { down: true, ..ObjectApiFaults::default() });
    for host in 0..2 {
        let answer = send(renew(callers(&fleet, host), "customer-care", "renewal-1")).await;
        assert!(!answer.status().is_success());
        assert_eq!(refusal(&answer).1, "not_run", "{:?}", refusal(&answer));
    }
    assert_eq!(runs(&fleet), 0);
    store.set_faults(ObjectApiFaults::default());
    fleet.close().await;
}

#[tokio::test]
async fn requests_that_crash_engines_are_quarantined_on_every_host() {
    let fleet = fleet(2).await;
    let crash_on = Some("salmonella".to_owned());
    set_engine_faults(&fleet, &EngineFaults { crash_on, ..EngineFaults::default() });
    let body = chat_body("Is salmonella alive in my starter?", 8, false);
    for host in [0, 1] {
        eventually("the request is quarantined", async || {
            let answer = send(chat(callers(&fleet, host), "baker-help", &body)).await;
            assert!(!answer.status().is_success());
            refusal(&answer).0 == "quarantined"
        })
        .await;
    }
    let crashes: u64 = fleet.deployment.engines.iter().map(|engine| engine.stats().crashes).sum();
    assert!(crashes <= 3, "{crashes} engines crashed");
    let harmless = chat_body("Is my starter alive?", 8, false);
    eventually("other requests are served", async || {
        send(chat(callers(&fleet, 1), "baker-help", &harmless)).await.status().is_success()
    })
    .await;
    fleet.close().await;
}

#[tokio::test]
async fn preset_switches_are_in_force_on_all_hosts() {
    let fleet = fleet(3).await;
    let switch = json!({
        "command": "preset_switch", "operator": "", "preset": "peak", "why": "Saturday rush",
    });
    let reply = command(operators(&fleet, 1), &switch).await;
    assert_eq!(reply["reply"], "applied", "{reply}");
    for host in 0..3 {
        eventually("the preset is in force", async || {
            let status = command(operators(&fleet, host), &json!({ "command": "status" })).await;
            status["preset"] == "peak" && status["invariant_violations"] == 0
        })
        .await;
    }
    fleet.close().await;
}

async fn report(fleet: &Fleet, host: usize) -> Report {
    let page = format!("http://{}/v1/report/burn", operators(fleet, host));
    let answer = send(reqwest::Client::new().get(page).bearer_auth("key-ada")).await;
    answer.json().await.expect("a report")
}

#[tokio::test]
async fn reports_and_bills_cover_all_hosts_and_reports_name_missing_hosts() {
    let mut fleet = fleet(3).await;
    let body = chat_body("Why is my starter sluggish?", 4, false);
    for host in 0..3 {
        let answer = send(chat(callers(&fleet, host), "baker-help", &body)).await;
        assert!(answer.status().is_success());
    }
    let invalid = chat(callers(&fleet, 0), "baker-help", &json!({ "messages": [] }));
    assert_eq!(refusal(&send(invalid).await).0, "bad_request");
    let complete = report(&fleet, 2).await;
    assert_eq!(complete.coverage.answered, ["entry-0", "entry-1", "entry-2"]);
    assert_eq!(complete.coverage.unanswered, [""; 0]);
    assert_eq!((complete.totals.completed, complete.totals.callers_faults), (3, 1));
    assert!(complete.totals.cost > 0 && complete.totals.best_cost >= complete.totals.cost);
    assert_eq!(complete.presets[0].preset, "ordinary");
    eventually("the bills are committed", async || {
        let usage = command(operators(&fleet, 1), &json!({ "command": "usage" })).await;
        let rows = usage["rows"].as_array().cloned().unwrap_or_default();
        rows.iter().filter_map(|row| row["answers"].as_u64()).sum::<u64>() == 3
    })
    .await;
    fleet.servers.remove(1).close().await;
    let partial = report(&fleet, 1).await;
    assert_eq!(partial.coverage.unanswered, ["entry-1"]);
    assert!(partial.to_text().contains("no metrics came from entry-1"));
    fleet.close().await;
}
