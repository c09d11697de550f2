//! `explain`: prints the timeline of one request from log files.

use std::io::Read;
use std::path::PathBuf;

use foxtailhoist_report::timeline::HostLogs;

use crate::failure::Failure;

/// Prints a request's timeline; without files, the log is read from standard input.
///
/// # Errors
///
/// Fails when a log cannot be read or no line names the request.
pub fn explain(request: &str, logs: &[PathBuf]) -> Result<(), Failure> {
    let mut host_logs = HostLogs::default();
    if logs.is_empty() {
        let mut text = String::new();
        let read_failed = |e| Failure::Failed(format!("standard input: {e}"));
        std::io::stdin().read_to_string(&mut text).map_err(read_failed)?;
        host_logs.add_log("-", &text);
    }
    for log in logs {
        let name = log.display().to_string();
        let text =
            std::fs::read_to_string(log).map_err(|e| Failure::Failed(format!("{name}: {e}")))?;
        host_logs.add_log(&name, &text);
    }
    let steps = host_logs.request_timeline(request);
    if steps.is_empty() {
        return Err(Failure::Failed(format!(
            "no line names request {request}; routine requests are sampled, see docs/OPERATIONS.md"
        )));
    }
    for step in steps {
        println!("{step}");
    }
    Ok(())
}
