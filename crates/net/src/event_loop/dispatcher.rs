//! The dispatcher: listeners, frontends and sources of endpoints around one event loop.

use super::{Clock, EventLoop, Inputs, SOURCE_CHANNEL_CAPACITY};
use crate::config::{Config, GearmanConfig, Reload, ZooKeeperConfig};
use crate::discovery::zookeeper::ZooKeeperSource;
use crate::discovery::{ListLimits, SourceUpdate};
use crate::frontend::gearman::workers::WorkerSessions;
use crate::frontend::gearman::{GearmanFrontend, SPARE_CONNECTIONS};
use crate::frontend::http::HttpFrontend;
use crate::frontend::{EventSender, FrontendState};
use pumiceway_core::{
    Core, CoreLimits, EndpointSource, Event, FunctionCatalog, IdempotencyCacheLimits,
};
use pumiceway_memory::MemoryBudget;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tracing::{info, warn};

/// A dispatcher with bound listeners.
pub struct Dispatcher {
    config: Config,
    gearman: Option<GearmanListener>,
    listener: TcpListener,
}

/// The configuration and the listener of the Gearman frontend.
struct GearmanListener {
    config: GearmanConfig,
    listener: TcpListener,
}

impl Dispatcher {
    /// Binds the listeners of the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn bind(mut config: Config) -> io::Result<Dispatcher> {
        let listener = TcpListener::bind(config.listen).await?;
        let gearman = match config.gearman.take() {
            Some(config) => {
                let listener = TcpListener::bind(config.listen).await?;
                Some(GearmanListener { config, listener })
            }
            None => None,
        };
        Ok(Dispatcher {
            config,
            gearman,
            listener,
        })
    }

    /// Returns the local addresses of the HTTP frontend and of the Gearman frontend.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system cannot provide an address.
    pub fn addresses(&self) -> io::Result<(SocketAddr, Option<SocketAddr>)> {
        let gearman = self
            .gearman
            .as_ref()
            .map(|gearman| gearman.listener.local_addr());
        Ok((self.listener.local_addr()?, gearman.transpose()?))
    }

    /// Serves until `shutdown` has completed, the frontends are closed and no client waits for a
    /// response. `reloads` delivers the configurations that are reloaded meanwhile.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are invalid or the operating system cannot provide an
    /// address.
    pub async fn run(
        self,
        shutdown: impl Future<Output = ()>,
        reloads: mpsc::UnboundedReceiver<Reload>,
    ) -> io::Result<()> {
        let (address, gearman_address) = self.addresses()?;
        let Dispatcher {
            mut config,
            gearman,
            listener,
        } = self;
        let clock = Clock::start();
        let (events, messages) = EventSender::new();
        let (close_frontends, closing) = watch::channel(FrontendState::Open);
        let mut frontends = JoinSet::new();
        let workers = gearman
            .as_ref()
            .map(|gearman| prepare_gearman(&mut config, &gearman.config, &events))
            .transpose()?;
        let memory = MemoryBudget::new(config.memory.shared);
        let limits = core_limits(&config, gearman.as_ref().map(|gearman| &gearman.config));
        if let Some((gearman, workers)) = gearman.zip(workers.clone()) {
            let GearmanListener {
                config: gearman,
                listener,
            } = gearman;
            let deployment = config.deployment.clone();
            let frontend =
                GearmanFrontend::new(events.clone(), deployment, gearman, workers, memory.clone());
            frontends.spawn(frontend.serve(listener, closing.clone(), move || clock.now()));
        }
        let core = Core::new(config.settings, config.seed, limits).map_err(io::Error::other)?;
        let deployment = config.deployment;
        let mut event_loop = EventLoop::new(
            clock,
            core,
            events.clone(),
            deployment.clone(),
            &config.socket_budget,
            ListLimits {
                memory: memory.clone(),
                max_endpoints: config.memory.endpoints,
            },
        );
        event_loop.workers = workers;
        event_loop.close_frontends = close_frontends;
        let version = config.bootstrap_list.as_ref().map(|list| list.version);
        let bootstrap_list = config
            .bootstrap_list
            .unwrap_or_default()
            .endpoints(&deployment);
        let endpoints = bootstrap_list.len();
        event_loop.load_bootstrap_list(bootstrap_list, version, config.discovery);
        let (zookeeper_updates, zookeeper) = mpsc::channel(SOURCE_CHANNEL_CAPACITY);
        if let Some(config) = config.zookeeper {
            event_loop.watch_zookeeper(config, zookeeper_updates.clone());
        }
        let ready = event_loop.ready.clone();
        let frontend = HttpFrontend {
            events: events.clone(),
            settings: deployment,
            ready,
            memory,
        };
        frontends.spawn(frontend.serve(listener, config.socket_budget, closing));
        spawn_close_notification(frontends, events);
        let gearman_address = gearman_address.map(tracing::field::display);
        info!(name = config.name, %address, gearman = gearman_address, "dispatcher is listening");
        info!(
            version,
            endpoints, "dispatcher starts with its bootstrap list"
        );
        event_loop
            .run(
                shutdown,
                Inputs {
                    messages,
                    zookeeper,
                    reloads,
                },
            )
            .await;
        Ok(())
    }
}

impl EventLoop {
    /// Starts the ZooKeeper source. Its list requires a lease: it is used only while the ensemble
    /// confirms it.
    fn watch_zookeeper(&mut self, config: ZooKeeperConfig, updates: mpsc::Sender<SourceUpdate>) {
        let source = EndpointSource::ZooKeeper;
        self.process_event(Event::LeaseRequired { source });
        let source = ZooKeeperSource {
            config,
            settings: self.settings.clone(),
            updates,
        };
        tokio::spawn(source.run());
    }
}

/// The limits of what the core keeps, which its memory permits.
fn core_limits(config: &Config, gearman: Option<&GearmanConfig>) -> CoreLimits {
    let memory = &config.memory;
    let limits = CoreLimits {
        max_consumed_ids: memory.consumed_ids,
        max_endpoints: memory.endpoints,
        ..CoreLimits::default()
    };
    let Some(gearman) = gearman else {
        return limits;
    };
    let cache = IdempotencyCacheLimits {
        max_bytes: gearman.cache_limits.max_bytes.min(memory.cached_results),
        max_entry_bytes: memory.cache_entries,
        ..gearman.cache_limits
    };
    CoreLimits { cache, ..limits }
}

/// Sends [`Event::FrontendsClosed`] once all frontends have ended.
fn spawn_close_notification(mut frontends: JoinSet<()>, events: EventSender) {
    tokio::spawn(async move {
        while frontends.join_next().await.is_some() {}
        events.send(Event::FrontendsClosed);
    });
}

/// Adapts the configuration to the Gearman frontend and creates its worker sessions: reserves its
/// connections in the socket budget, and adds its functions to the settings. Also limits the length of
/// the queue, and sets the maximum queue time of classes that have none to their deadline; both
/// apply to the requests of all frontends.
fn prepare_gearman(
    config: &mut Config,
    gearman: &GearmanConfig,
    events: &EventSender,
) -> io::Result<WorkerSessions> {
    let sockets = gearman.connections + SPARE_CONNECTIONS;
    config.socket_budget.inbound -= sockets.min(config.socket_budget.inbound / 2);
    let catalog = add_functions(config, gearman)?;
    for class in &mut config.settings.classes {
        class.max_queue_time = class.max_queue_time.or(Some(class.deadline));
    }
    config.settings.max_queued = gearman.queue;
    Ok(WorkerSessions::new(
        events.clone(),
        Arc::new(catalog),
        gearman.skips_slow_start,
    ))
}

/// Adds the functions of the Gearman frontend to the settings, and reserves the memory that they take.
fn add_functions(config: &mut Config, gearman: &GearmanConfig) -> io::Result<FunctionCatalog> {
    let deployment = config.deployment.clone();
    let class_names: Vec<&str> = deployment
        .classes
        .iter()
        .map(|class| class.name.as_str())
        .collect();
    let functions = gearman.functions.iter();
    let functions = functions.map(|(name, function)| (name.as_str(), function.class));
    let catalog = FunctionCatalog::add(&mut config.settings, &class_names, functions)
        .map_err(|error| io::Error::other(format!("gearman: {error}")))?;
    let additional = config.settings.functions.len();
    config
        .memory
        .reserve_functions(additional, gearman.connections)
        .map_err(io::Error::other)?;
    for (class, functions) in catalog.classes_without_default() {
        warn!(
            class = class_names[class.0],
            functions = functions.join(", "),
            "no function has the name of the class; HTTP requests go to HTTP endpoints only, and the \
             jobs of the functions to workers only"
        );
    }
    Ok(catalog)
}
