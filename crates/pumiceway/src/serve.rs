//! Runs the dispatcher until SIGTERM or SIGINT. SIGHUP reloads the configuration.

use crate::config_files::ReloadPolicy;
use crate::error::CommandError;
use pumiceway_net::config::{Config, Reload, StartupValues};
use pumiceway_net::event_loop::Dispatcher;
use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;

/// The threads that look up host names. Addresses need none, and each thread takes memory.
const MAX_LOOKUP_THREADS: usize = 4;

/// Runs the dispatcher with this configuration, on the current thread.
pub fn run(config: Config, reload_policy: ReloadPolicy) -> Result<(), CommandError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(MAX_LOOKUP_THREADS)
        .build()
        .map_err(CommandError::Runtime)?
        .block_on(serve(config, reload_policy))
        .map_err(CommandError::Serve)
}

async fn serve(config: Config, reload_policy: ReloadPolicy) -> io::Result<()> {
    let terminate = signal(SignalKind::terminate())?;
    let interrupt = signal(SignalKind::interrupt())?;
    let hangup = signal(SignalKind::hangup())?;
    let (reload_sender, reloads) = mpsc::unbounded_channel();
    let startup_values = config.startup_values.clone();
    tokio::spawn(async move {
        match reload_policy {
            ReloadPolicy::Reload => reload_on_hangup(hangup, startup_values, reload_sender).await,
            ReloadPolicy::RestartRequired => warn_on_hangup(hangup).await,
        }
    });
    let dispatcher = Dispatcher::bind(config).await?;
    dispatcher
        .run(wait_for_stop(terminate, interrupt), reloads)
        .await
}

/// Returns once the process is asked to stop.
async fn wait_for_stop(mut terminate: Signal, mut interrupt: Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Reads the configuration again at each SIGHUP and sends it to the dispatcher. An invalid or
/// partially written file is only logged, since it must not stop a running dispatcher.
async fn reload_on_hangup(
    mut hangup: Signal,
    startup_values: StartupValues,
    reloads: mpsc::UnboundedSender<Reload>,
) {
    while hangup.recv().await.is_some() {
        match Reload::read(&startup_values, |key| std::env::var(key).ok()) {
            Ok(reload) => drop(reloads.send(reload)),
            Err(error) => tracing::error!(
                reason = %error,
                "the configuration was not reloaded; the old one remains in use"
            ),
        }
    }
}

async fn warn_on_hangup(mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        tracing::warn!("a site file is read only at startup; changes require a restart");
    }
}
