//! Waits for a signal that stops the process.

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Returns at SIGTERM or SIGINT.
pub async fn stop_requested() {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        // Without handlers, the signal's default action ends the process.
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
