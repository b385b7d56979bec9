//! Serves until a signal asks the process to stop. A hang-up reads the configuration again.

use crate::config_files::ReloadPolicy;
use crate::error::CommandError;
use pumiceway_net::config::{Config, Reload, StartupValues};
use pumiceway_net::event_loop::Dispatcher;
use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;

/// Serves with this configuration, on the current thread.
pub fn run(config: Config, reload_policy: ReloadPolicy) -> Result<(), CommandError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
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
    let running = config.startup_values.clone();
    tokio::spawn(async move {
        match reload_policy {
            ReloadPolicy::Reload => reload_on_hangup(hangup, running, reload_sender).await,
            ReloadPolicy::RestartRequired => warn_on_hangup(hangup).await,
        }
    });
    let dispatcher = Dispatcher::bind(config).await?;
    dispatcher.run(stop(terminate, interrupt), reloads).await
}

async fn stop(mut terminate: Signal, mut interrupt: Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// A file that is wrong or half written must not end a dispatcher that serves.
async fn reload_on_hangup(
    mut hangup: Signal,
    running: StartupValues,
    reloads: mpsc::UnboundedSender<Reload>,
) {
    while hangup.recv().await.is_some() {
        match Reload::read(&running, |key| std::env::var(key).ok()) {
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
        tracing::warn!("a site file is read at the start only; its changes require a restart");
    }
}
