//! `measure`: runs one measurement and prints it as text or JSON.

use std::fmt::Display;

use foxtailhoist_measure::choice;
use foxtailhoist_measure::control;
use foxtailhoist_measure::control::ControlConfig;
use foxtailhoist_measure::journal_cost;
use foxtailhoist_measure::policy;
use foxtailhoist_measure::policy::PolicyOptions;
use foxtailhoist_measure::soak;
use serde::Serialize;

use crate::commands::block_on;
use crate::commands::measure_path;
use crate::failure::Failure;
use crate::flags::MeasureFlags;
use crate::flags::Measurement;

/// Runs a measurement and prints it.
///
/// # Errors
///
/// Fails when its input cannot be read, or when the soak run finds an invariant violation.
pub fn measure(measurement: Measurement, flags: MeasureFlags) -> Result<(), Failure> {
    match measurement {
        Measurement::Path => block_on(measure_path::run(flags)),
        Measurement::Choice => print(&choice::measure(flags.seed), &flags),
        Measurement::Journal => print(&journal_cost::measure(flags.seed), &flags),
        Measurement::Control => print(
            &control::run(&ControlConfig { seed: flags.seed, ..ControlConfig::default() }),
            &flags,
        ),
        Measurement::Policy => measure_policy(&flags),
        Measurement::Soak => measure_soak(&flags),
    }
}

fn measure_policy(flags: &MeasureFlags) -> Result<(), Failure> {
    let defaults = PolicyOptions::default();
    let workload = match &flags.workload {
        Some(file) => std::fs::read_to_string(file)
            .map_err(|e| Failure::Settings(format!("{}: {e}", file.display())))?,
        None => defaults.workload.clone(),
    };
    let seeds = (flags.seed..flags.seed + flags.seeds).collect();
    let options = PolicyOptions { workload, seeds, minutes: flags.minutes, ..defaults };
    let report = policy::run(&options).map_err(|e| Failure::Settings(e.to_string()))?;
    print(&report, flags)
}

fn measure_soak(flags: &MeasureFlags) -> Result<(), Failure> {
    let report = soak::run(flags.seed, flags.steps);
    print(&report, flags)?;
    match report.violations.len() {
        0 => Ok(()),
        count => Err(Failure::Failed(format!("{count} violations with seed {}", flags.seed))),
    }
}

fn print(report: &(impl Display + Serialize), flags: &MeasureFlags) -> Result<(), Failure> {
    if flags.json {
        let text =
            serde_json::to_string_pretty(report).map_err(|e| Failure::Failed(e.to_string()))?;
        println!("{text}");
    } else {
        print!("{report}");
    }
    Ok(())
}
