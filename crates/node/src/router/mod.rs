//! `drumshore router`: runs the router's actor, its links to control machines and its HTTP API.

mod api;
mod completions;
mod link;
mod upstream;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use drumshore_consensus::{Directory, FileDirectory};
use drumshore_core::settings::RouterSettings;
use drumshore_http::{Server, ServerParams};
use drumshore_router::config::ConfigError;
use drumshore_router::{
    RouterActor, RouterCore, RouterOutputs, RouterParams, StoredFile, StoredState,
};
use drumshore_routing::{AdmissionParams, RetryParams};
use drumshore_wire::{Identity, Text};
use rand::Rng;
use stakker::{actor, call, ret_nop, ActorOwn, Fwd, Ret};

use crate::event_loop::{EventLoop, LoopHandle, Signals};
use crate::links::Credentials;

use api::Api;
use link::ControlLinks;

/// Why the daemon fails.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// The data folder or a socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The configuration in the data folder cannot be decoded.
    #[error("cannot load the stored configuration: {0}")]
    Config(#[from] ConfigError),
}

/// State that tasks on the event loop's thread can access.
pub struct RouterContext {
    actor: ActorOwn<RouterActor>,
}

type RouterHandle = LoopHandle<RouterContext>;

/// Interval at which a stopping router checks whether requests are still being answered.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// Runs a router until it has received a stop signal and all requests in flight have ended.
pub fn run(settings: RouterSettings, signals: &Signals) -> Result<(), DaemonError> {
    let (mut event_loop, handle) = EventLoop::<RouterContext>::new();
    let directory = FileDirectory::open(&settings.data_dir)?;
    let config = directory.read(StoredFile::Config.file_name())?;
    let engines = directory.read(StoredFile::Engines.file_name())?;
    let stored = StoredState::decode(config.as_deref(), engines.as_deref())?;
    let core = RouterCore::new(router_params(&settings), stored, rand::rng().random());
    let links = ControlLinks::new(
        settings.control.clone(),
        Credentials {
            identity: Identity::Router(Text::new(settings.name.as_str())),
            key: settings.cluster_key.clone(),
        },
        handle.clone(),
    );
    let outputs = outputs(links, directory);
    let actor = actor!(
        event_loop.stakker(),
        RouterActor::init(core, outputs),
        ret_nop!()
    );
    let context = RouterContext { actor };
    let server = start_api(&settings, handle)?;
    tracing::info!(
        "router: {} serves requests at {}",
        settings.name,
        server.address()
    );
    let stop_flag = event_loop.stop_flag();
    event_loop.run(&context, signals, move |_, context| {
        tracing::info!("router: stopping; waiting for the requests in flight");
        let drained = Ret::new(move |drained: Option<()>| {
            stop_flag.fetch_or(drained.is_some(), Ordering::SeqCst);
        });
        call!([context.actor], stop(drained));
    });
    server.close_after_answers();
    while server.status().active_requests > 0 {
        std::thread::sleep(DRAIN_POLL);
    }
    tracing::info!("router: stopped");
    Ok(())
}

fn router_params(settings: &RouterSettings) -> RouterParams {
    let limits = &settings.limits;
    let controls = settings.control.len();
    let base = RouterParams::new(settings.name.clone(), settings.zone.clone(), controls);
    RouterParams {
        admission: AdmissionParams {
            max_open: u32::try_from(limits.max_open_requests).unwrap_or(u32::MAX),
        },
        retry: RetryParams {
            max_attempts: u32::try_from(limits.max_attempts).unwrap_or(u32::MAX),
            percent: u32::try_from(limits.retry_percent).unwrap_or(u32::MAX),
            ..RetryParams::default()
        },
        queue_capacity: limits.max_queued_requests as usize,
        queue_timeout: Duration::from_millis(limits.queue_timeout_ms),
        decision_entries: limits.decision_log_entries as usize,
        ..base
    }
}

fn outputs(links: ControlLinks, mut directory: FileDirectory) -> RouterOutputs {
    let links = Arc::new(links);
    let connecting = Arc::clone(&links);
    let closing = Arc::clone(&links);
    RouterOutputs {
        persist: Box::new(move |file, bytes| {
            if let Err(error) = directory.replace(file.file_name(), &bytes) {
                tracing::error!("router: cannot store {}: {error}", file.file_name());
            }
        }),
        connect: Fwd::new(move |(link, peer)| connecting.connect(link, peer)),
        close: Fwd::new(move |link| closing.close(link)),
        send: Fwd::new(move |(link, message)| links.send(link, message)),
    }
}

fn start_api(settings: &RouterSettings, handle: RouterHandle) -> io::Result<Server> {
    let limits = &settings.limits;
    let params = ServerParams {
        // Twice the limit on open requests: requests that are refused need connections too.
        max_connections: limits.max_open_requests as usize * 2,
        max_head_bytes: limits.max_header_bytes as usize,
        read_timeout: Duration::from_millis(limits.read_timeout_ms),
        write_timeout: Duration::from_millis(limits.write_timeout_ms),
        ..ServerParams::default()
    };
    let listen: SocketAddr = settings.listen;
    Server::start(listen, params, Api::new(settings, handle))
}

/// Senders by link, shared by the event loop and the links' threads.
type Senders = BTreeMap<drumshore_router::LinkId, crate::links::LinkSender>;
