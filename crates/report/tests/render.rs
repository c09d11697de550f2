//! Contents of the rendered report, and escaping of names.

mod common;

use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_report::Labels;
use foxtailhoist_report::Metrics;
use foxtailhoist_report::Objectives;
use foxtailhoist_report::Observation;
use foxtailhoist_report::Report;

use common::ago;
use common::completed;
use common::labels;
use common::late;
use common::now;
use common::refused;

/// Report on three days with a request every five minutes from two workspaces, one with a hostile name, and a vetoed
/// version.
fn report() -> Report {
    let mut metrics = Metrics::default();
    for minutes in (0..3 * 24 * 60).rev().step_by(5) {
        let hostile = Labels {
            workspace: "<script>alert('x')</script>\u{1b}[2J".to_owned(),
            preset: "peak & <b>".to_owned(),
            ..labels("")
        };
        metrics.record(ago(minutes), &completed(labels("baker-help"), 100 + minutes % 300));
        metrics.record(ago(minutes), &completed(hostile, 900));
        let v2 = Labels {
            model_version: Some(ModelVersion::new("levain-small", "v2")),
            ..labels("baker-help")
        };
        metrics.record(ago(minutes), &Observation::Rated { labels: v2, acceptable: false });
        if minutes % 15 == 4 {
            metrics.record(ago(minutes), &late(labels("baker-help")));
            metrics.record(ago(minutes), &refused(labels("baker-help"), ErrorKind::Overloaded));
        }
    }
    let model_version = ModelVersion::new("levain-small", "v2");
    let exposed = Observation::Exposed { model_version: model_version.clone(), callers: 17 };
    metrics.record(ago(100), &exposed);
    metrics.record(ago(90), &Observation::Vetoed { model_version });
    Report::build(&metrics, &Objectives::default(), now())
}

#[test]
fn text_contains_every_section() {
    let text = report().to_text();
    for part in [
        "2026-11-30 22:25 to 2026-12-03 22:25 UTC",
        "requests were handled",
        "workspaces kept all their objectives",
        "At most 17 callers were exposed to 1 version that turned out bad.",
        "5 min/1 h",
        "30 min/6 h",
        "6 h/3 d",
        "Latency",
        "What burnt the budgets",
        "overloaded",
        "Versions in use",
        "Presets in force",
        "ordinary",
        "Exposure in roll-outs",
        "so the bill was 30.0% of that",
    ] {
        assert!(text.contains(part), "{part:?} is not in\n{text}");
    }
    assert!(!text.contains('\u{1b}'), "a name contains an escape character");
}

#[test]
fn html_is_one_page_with_plots_and_escaped_names() {
    let html = report().to_html();
    assert!(html.starts_with("<!DOCTYPE html>") && html.trim_end().ends_with("</html>"));
    assert_eq!(html.matches("<svg").count(), 4);
    assert_eq!(html.matches("<svg").count(), html.matches("</svg>").count());
    assert_eq!(html.matches("<table>").count(), 6);
    assert!(html.contains("&lt;script&gt;alert(&#39;x&#39;)&lt;/script&gt;"));
    assert!(html.contains("peak &amp; &lt;b&gt;"));
    for outside in ["<script", "http://", "https://", "<link", "src=", "NaN", "inf\""] {
        let found = html.replace("http://www.w3.org/2000/svg", "").contains(outside);
        assert!(!found, "the page contains {outside:?}");
    }
}

#[test]
fn json_reads_back_as_the_same_report() {
    let report = report();
    let read: Report = serde_json::from_str(&report.to_json().unwrap()).unwrap();
    assert_eq!(read, report);
}

#[test]
fn a_report_without_requests_says_so() {
    let report = Report::build(&Metrics::default(), &Objectives::default(), now());
    assert!(report.to_text().contains("No requests were counted"));
    assert!(report.to_html().contains("No requests were counted"));
    assert!(!report.to_html().contains("<svg"));
}

#[test]
fn a_single_hour_is_drawn_as_a_point() {
    let mut metrics = Metrics::default();
    metrics.record(ago(1), &completed(labels("baker-help"), 100));
    let html = Report::build(&metrics, &Objectives::default(), now()).to_html();
    assert!(html.contains("<circle"), "a line with one point is invisible");
}
