//! Log lines for the host's notes, one per note, as key=value pairs.

use foxtailhoist_host::event::Note;
use foxtailhoist_model::LogLevel;

/// Logs one note from the host.
pub fn log_note(note: &Note) {
    match note {
        Note::ConfigurationAdopted { revision, preset } => {
            log::info!("event=configuration_adopted revision={revision} preset={preset}");
        }
        Note::ConfigurationConfirmed(true) => log::info!("event=configuration_confirmed"),
        Note::ConfigurationConfirmed(false) => log::warn!("event=configuration_unconfirmed"),
        Note::StoreFellBack { shown, in_force } => {
            log::warn!("event=store_fell_back shown={shown} in_force={in_force}");
        }
        Note::Vetoed { model_version, reason } => {
            log::warn!("event=vetoed version={model_version} reason=\"{reason}\"");
        }
        Note::VetoCleared { model_version } => {
            log::info!("event=veto_cleared version={model_version}")
        }
        Note::Quarantined { fingerprint } => {
            log::warn!("event=quarantined fingerprint={fingerprint:016x}")
        }
        Note::ServerLeaving { server } => log::info!("event=server_leaving server={server}"),
        Note::HostsAlive { count } => log::info!("event=hosts_alive count={count}"),
        Note::Leading(leading) => log::info!("event=rollout_lease held={leading}"),
        Note::Watching(watching) => log::info!("event=watcher active={watching}"),
        Note::Refused { workspace, kind } => {
            log::log!(
                level(kind.answer().level),
                "event=refused workspace={workspace} kind={kind}"
            );
        }
        Note::ConfigurationRefused { revision, reason } => {
            log::error!("event=configuration_refused revision={revision} reason=\"{reason}\"");
        }
        Note::InvariantViolated { detail } => {
            log::error!("event=invariant_violated detail=\"{detail}\"")
        }
    }
}

fn level(level: LogLevel) -> log::Level {
    match level {
        LogLevel::Debug => log::Level::Debug,
        LogLevel::Info => log::Level::Info,
        LogLevel::Warn => log::Level::Warn,
        LogLevel::Error => log::Level::Error,
    }
}
