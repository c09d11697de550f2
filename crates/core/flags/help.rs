//! Text of `--help`.

use crate::failure::EXIT_CODES;
use crate::flags::defs::FLAGS;
use crate::flags::defs::FlagDef;
use crate::flags::defs::FlagValue;

const COMMANDS: &str = "\
foxtailhoist routes requests to models and versions, and to plain services.

Usage: foxtailhoist COMMAND [FLAGS]

Run:
  serve                          run an entry host (--settings)
  relay                          run an entry host on the users' platform (--settings)
  dev                            run entry hosts and stand-ins on loopback
  check                          check settings and a configuration

Operate (on any entry host):
  status                         what the host knows about itself and the fleet
  preset list | show NAME | switch NAME
  config propose FILE | diff ID | approve ID | apply ID | log
  version list | rollout MODEL@VERSION | withdraw MODEL@VERSION
  version veto MODEL@VERSION | clear MODEL@VERSION
  usage                          bills by workspace, model and version
  report burn                    service-level burn

Diagnose:
  explain REQUEST [LOG...]       one request's timeline from log files, or from standard input

Verify and measure:
  scenario FILE                  run one scenario and print its trace
  measure path | policy | choice | journal | control | soak
";

/// Builds the help text.
#[must_use]
pub fn page() -> String {
    let flags: Vec<String> = FLAGS.iter().map(line).collect();
    format!("{COMMANDS}\nFlags:\n{}\n\n{EXIT_CODES}\n", flags.join("\n"))
}

fn line(def: &FlagDef) -> String {
    let short = if def.short.is_empty() { "    ".to_owned() } else { format!("-{}, ", def.short) };
    let value = match def.value {
        FlagValue::None => String::new(),
        FlagValue::Named(name) => format!(" {name}"),
    };
    let flag = format!("{short}--{}{value}", def.long);
    format!("  {flag:<28} {}", def.help)
}
