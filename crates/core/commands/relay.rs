//! `relay`: runs an entry host on the users' platform until SIGTERM or SIGINT; SIGHUP reloads its settings.

use std::path::Path;

use foxtailhoist_platform::PlatformWire;
use foxtailhoist_platform::Settings;
use foxtailhoist_relay::Relay;
use tokio::runtime::Builder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::LocalSet;

use crate::commands::signal::stop_requested;
use crate::failure::Failure;
use crate::logging;

/// Runs an entry host with the settings from a file.
///
/// # Errors
///
/// Fails when the settings are not valid or the entry host cannot be started.
pub fn relay(file: &Path) -> Result<(), Failure> {
    let settings = Settings::load(file).map_err(|e| Failure::Settings(e.to_string()))?;
    let _logger = logging::start_bounded(&settings.log)?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Failure::Failed(format!("cannot start the async runtime: {e}")))?;
    let result = LocalSet::new().block_on(&runtime, serve(file, settings));
    log::logger().flush();
    result
}

async fn serve(file: &Path, settings: Settings) -> Result<(), Failure> {
    let wire = Box::new(PlatformWire::new(settings.store));
    let relay = Relay::start(settings.relay(), settings.dispatch(), wire)
        .map_err(|e| Failure::Unreachable(e.to_string()))?;
    let mut reload = signal(SignalKind::hangup())
        .map_err(|e| Failure::Failed(format!("cannot install the SIGHUP handler: {e}")))?;
    // Created once, outside the loop: a signal that arrives between two waits would otherwise be lost.
    let mut stop = std::pin::pin!(stop_requested());
    loop {
        tokio::select! {
            () = stop.as_mut() => break,
            _ = reload.recv() => {
                match Settings::load(file) {
                    Ok(settings) => relay.reload(&settings.relay(), settings.dispatch()),
                    Err(e) => relay.refuse_reload(&e.to_string()),
                }
            }
        }
    }
    relay.close().await;
    Ok(())
}
