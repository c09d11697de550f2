//! `dev`: runs entry hosts and stand-ins of the platform in one process, on loopback.

use std::path::PathBuf;

use foxtailhoist_dev::Fleet;
use foxtailhoist_dev::FleetError;
use foxtailhoist_dev::FleetOptions;
use foxtailhoist_dev::OPERATOR_KEYS;

use crate::commands::operate;
use crate::commands::signal;
use crate::failure::Failure;

/// Options of `dev`.
pub struct DevOptions {
    pub configuration: Option<PathBuf>,
    pub hosts: u64,
    /// First port of the entry hosts; 0 selects free ports.
    pub port: u16,
    pub seed: u64,
}

/// Runs until interrupted.
pub async fn dev(options: DevOptions) -> Result<(), Failure> {
    let fleet = start(&options).await?;
    print_examples(&fleet);
    signal::stop_requested().await;
    fleet.close().await;
    Ok(())
}

/// Starts stand-ins and entry hosts and applies the configuration.
///
/// # Errors
///
/// Fails when an address cannot be bound or the configuration is refused.
pub async fn start(options: &DevOptions) -> Result<Fleet, Failure> {
    let configuration =
        options.configuration.as_deref().map(operate::read_configuration).transpose()?;
    let options = FleetOptions {
        configuration,
        hosts: options.hosts,
        port: options.port,
        seed: options.seed,
        ..FleetOptions::default()
    };
    Fleet::start(options).await.map_err(|e| match e {
        FleetError::StandIns(_) | FleetError::EntryHost(_) => Failure::Unreachable(e.to_string()),
        FleetError::Configuration(faults) => Failure::Settings(faults),
        FleetError::Refused(refusal) => Failure::Refused(Box::new(refusal)),
        FleetError::StartTimeout => Failure::Failed(e.to_string()),
    })
}

fn print_examples(fleet: &Fleet) {
    let callers = fleet.servers[0].addresses().callers;
    let operators = fleet.servers[0].addresses().operators;
    let host_list = fleet.deployment.addresses().host_list;
    println!(
        "{} entry hosts run; callers reach the first at http://{callers}",
        fleet.servers.len()
    );
    println!();
    println!("# a chat completion");
    println!(
        "curl -s -i http://{callers}/v1/chat/completions -H 'authorization: Bearer key-baker-help' \\"
    );
    println!(
        "  -H 'x-task-class: tagging' -d '{{\"messages\":[{{\"role\":\"user\",\"content\":\"Tag: starter smells\"}}]}}'"
    );
    println!();
    println!("# a streamed one, in a session");
    println!(
        "curl -s -N -i http://{callers}/v1/chat/completions -H 'authorization: Bearer key-baker-help' \\"
    );
    println!(
        "  -H 'x-session: s1' -d '{{\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"Why is it sluggish?\"}}]}}'"
    );
    println!();
    println!("# a call of a plain service");
    println!(
        "curl -s -i http://{callers}/v1/services/crock-app/orders -H 'authorization: Bearer key-baker-help'"
    );
    println!();
    println!("# a renewal, twice with one key: it runs once");
    println!("for i in 1 2; do curl -s -i -X POST http://{callers}/v1/services/crock-app/renew \\");
    println!(
        "  -H 'authorization: Bearer key-renewals' -H 'idempotency-key: renewal-1' -d '{{\"household\":7}}'; done"
    );
    println!();
    println!("# a preset switch, and what every host has in force");
    println!("export FOXTAILHOIST_ADDRESS={operators} FOXTAILHOIST_KEY={}", OPERATOR_KEYS[0].1);
    println!("cargo run --release -q -- preset switch peak --why 'Saturday rush'");
    println!(
        "curl -s -X POST http://{operators}/v1/operator -H 'authorization: Bearer {}' \\",
        OPERATOR_KEYS[0].1
    );
    println!("  -d '{{\"command\":\"status\"}}'");
    println!();
    println!("# faults of the stand-ins: POST /faults on each");
    println!("host list http://{host_list}/faults");
    for server in &fleet.deployment.addresses().backend_servers {
        println!("{} http://{}/faults", server.id, server.address);
    }
    println!();
    println!("Stop with Ctrl-C: running answers finish first.");
}
