//! Observations shared by the tests.

// Each test file uses only some of these functions.
#![allow(dead_code)]

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_report::CompletedRequest;
use foxtailhoist_report::Labels;
use foxtailhoist_report::Observation;
use foxtailhoist_report::RefusedRequest;

/// 2026-12-03 22:25 UTC.
pub fn now() -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_796_336_700)
}

pub fn ago(minutes: u64) -> SystemTime {
    now() - Duration::from_secs(minutes * 60)
}

pub fn labels(workspace: &str) -> Labels {
    Labels {
        workspace: workspace.to_owned(),
        model_version: Some(ModelVersion::new("levain-small", "v1")),
        server: Some("engine-1".to_owned()),
        data_centre: "nashua".to_owned(),
        preset: "ordinary".to_owned(),
        revision: 7,
    }
}

pub fn completed(labels: Labels, first_token_ms: u64) -> Observation {
    Observation::Completed(CompletedRequest {
        labels,
        first_token: Some(Duration::from_millis(first_token_ms)),
        total: Duration::from_millis(first_token_ms * 5),
        in_time: true,
        cost: 3_000_000,
        best_cost: 10_000_000,
    })
}

pub fn late(labels: Labels) -> Observation {
    Observation::Completed(CompletedRequest {
        labels,
        first_token: None,
        total: Duration::from_secs(30),
        in_time: false,
        cost: 3_000_000,
        best_cost: 10_000_000,
    })
}

pub fn refused(labels: Labels, kind: ErrorKind) -> Observation {
    Observation::Refused(RefusedRequest { labels, kind, ran: kind.response().ran })
}
