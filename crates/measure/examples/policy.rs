//! Prints the policy report for the groups of runs given as arguments; all groups by default.

use foxtailhoist_measure::policy::PolicyError;
use foxtailhoist_measure::policy::PolicyOptions;
use foxtailhoist_measure::policy::RunKind;
use foxtailhoist_measure::policy::run;

fn main() -> Result<(), PolicyError> {
    let mut options = PolicyOptions::default();
    let named: Vec<RunKind> = std::env::args().skip(1).filter_map(|name| kind(&name)).collect();
    if !named.is_empty() {
        options.runs = named.into_iter().collect();
    }
    println!("{}", run(&options)?);
    Ok(())
}

fn kind(name: &str) -> Option<RunKind> {
    match name {
        "ordinary" => Some(RunKind::Ordinary),
        "peak" => Some(RunKind::Peak),
        "capacity" => Some(RunKind::Capacity),
        "faults" => Some(RunKind::Faults),
        _ => None,
    }
}
