//! Log lines for the host's notifications, one line each, as key=value pairs.

use foxtailhoist_host::event::Notification;
use foxtailhoist_model::LogLevel;

/// Logs one notification from the host.
pub fn log_notification(notification: &Notification) {
    match notification {
        Notification::ConfigurationAdopted { revision, preset } => {
            log::info!("event=configuration_adopted revision={revision} preset={preset}");
        }
        Notification::ConfigurationConfirmed(true) => log::info!("event=configuration_confirmed"),
        Notification::ConfigurationConfirmed(false) => {
            log::warn!("event=configuration_unconfirmed")
        }
        Notification::StoreFellBack { shown, in_force } => {
            log::warn!("event=store_fell_back shown={shown} in_force={in_force}");
        }
        Notification::Vetoed { model_version, reason } => {
            log::warn!("event=vetoed version={model_version} reason=\"{reason}\"");
        }
        Notification::VetoCleared { model_version } => {
            log::info!("event=veto_cleared version={model_version}")
        }
        Notification::Quarantined { fingerprint } => {
            log::warn!("event=quarantined fingerprint={fingerprint:016x}")
        }
        Notification::ServerLeaving { server } => {
            log::info!("event=server_leaving server={server}")
        }
        Notification::HostsAlive { count } => log::info!("event=hosts_alive count={count}"),
        Notification::Leading(leading) => log::info!("event=rollout_lease held={leading}"),
        Notification::Watching(watching) => log::info!("event=watcher active={watching}"),
        Notification::Refused { workspace, kind } => {
            log::log!(
                level(kind.response().level),
                "event=refused workspace={workspace} kind={kind}"
            );
        }
        Notification::ConfigurationRefused { revision, reason } => {
            log::error!("event=configuration_refused revision={revision} reason=\"{reason}\"");
        }
        Notification::InvariantViolated { detail } => {
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
