//! `scenario`: runs one scenario and prints its trace.

use std::path::Path;

use foxtailhoist_scenario::Scenario;
use foxtailhoist_scenario::run;

use crate::failure::Failure;

/// Runs a scenario file.
///
/// # Errors
///
/// Fails when the file cannot be read or the run reports a violation.
pub fn scenario(file: &Path) -> Result<(), Failure> {
    let name = file.display().to_string();
    let text =
        std::fs::read_to_string(file).map_err(|e| Failure::Settings(format!("{name}: {e}")))?;
    let scenario = Scenario::parse(&name, &text).map_err(|e| Failure::Settings(e.to_string()))?;
    let outcome = run(&scenario);
    outcome.trace.lines().for_each(|line| println!("{line}"));
    for violation in &outcome.violations {
        println!("violation: {violation}");
    }
    let count = outcome.violations.len();
    println!(
        "{}: {} steps, {count} violations, trace {:016x}",
        scenario.name,
        outcome.steps,
        outcome.trace.hash()
    );
    if count == 0 { Ok(()) } else { Err(Failure::Failed(format!("{name}: {count} violations"))) }
}
