//! `drumshore control`: runs the control actor, the links to routers and other control machines,
//! the probes of engines and the platform, and the operators' API.

mod api;
mod effects;
mod members;
mod probes;

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use drumshore_consensus::{FileDirectory, FolderIdentity, Membership, ReplicaError, ReplicaId};
use drumshore_control::{
    ConnectionId, ControlActor, ControlCore, ControlOutputs, ControlParams, OperatorReply,
    OperatorTicket,
};
use drumshore_core::settings::ControlSettings;
use drumshore_http::{Server, ServerParams};
use drumshore_wire::Identity;
use rand::Rng;
use stakker::{actor, ret_nop, ActorOwn, Fwd};

use crate::event_loop::{EventLoop, LoopHandle, Signals};
use crate::links::{self, Credentials, LinkSender};

use api::Api;
pub(crate) use api::{MemberChange, MemberStep, CHANGE_ID_HEADER, EXPECTED_VERSION_HEADER};
use effects::EffectExecutor;

/// Why the daemon fails.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// A socket or the data folder failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The replicated log cannot be opened or written.
    #[error(transparent)]
    Replica(#[from] ReplicaError),
}

/// State that tasks on the event loop's thread can access.
pub struct ControlContext {
    actor: ActorOwn<ControlActor<FileDirectory>>,
}

type ControlHandle = LoopHandle<ControlContext>;

/// Open links and operators that wait for a reply, shared by the event loop, the links' threads
/// and the HTTP threads.
#[derive(Default)]
struct Registry {
    next_connection: u64,
    next_ticket: u64,
    routers: BTreeMap<ConnectionId, LinkSender>,
    controls: BTreeMap<ReplicaId, LinkSender>,
    operators: BTreeMap<OperatorTicket, crossbeam_channel::Sender<OperatorReply>>,
}

#[derive(Clone, Default)]
struct SharedRegistry(Arc<Mutex<Registry>>);

impl SharedRegistry {
    fn lock(&self) -> MutexGuard<'_, Registry> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs a control machine until it receives a stop signal or its disk fails.
///
/// With `bootstrap`, a machine with an empty data folder starts a new cluster whose voters are the
/// peers in the settings. Without it, such a machine waits until a leader adds it; a machine that
/// lost its disk rejoins this way.
pub fn run(
    settings: &ControlSettings,
    bootstrap: bool,
    signals: &Signals,
) -> Result<(), DaemonError> {
    let (mut event_loop, handle) = EventLoop::<ControlContext>::new();
    let core = open_core(settings, bootstrap)?;
    let registry = SharedRegistry::default();
    let failure = Arc::new(Mutex::new(None));
    let executor = EffectExecutor::new(registry.clone());
    let stop_flag = event_loop.stop_flag();
    let failed = Arc::clone(&failure);
    let outputs = ControlOutputs {
        effect: Fwd::new(move |effect| executor.execute(effect)),
        disk_failed: Fwd::new(move |error: ReplicaError| {
            *failed.lock().unwrap_or_else(PoisonError::into_inner) = Some(error);
            stop_flag.store(true, std::sync::atomic::Ordering::SeqCst);
        }),
        unix_ms: Box::new(unix_ms),
    };
    let tick = Duration::from_millis(settings.tick_ms);
    let actor = actor!(
        event_loop.stakker(),
        <ControlActor<FileDirectory>>::init(core, outputs, tick),
        ret_nop!()
    );
    let context = ControlContext { actor };
    let server = serve(settings, &registry, &handle)?;
    let stop_flag = event_loop.stop_flag();
    event_loop.run(&context, signals, move |_, _| {
        stop_flag.store(true, std::sync::atomic::Ordering::SeqCst);
    });
    server.close_after_answers();
    let failure = failure
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .take();
    match failure {
        Some(error) => Err(error.into()),
        None => Ok(()),
    }
}

fn open_core(
    settings: &ControlSettings,
    bootstrap: bool,
) -> Result<ControlCore<FileDirectory>, DaemonError> {
    let identity = FolderIdentity {
        cluster: settings.cluster.clone(),
        replica: ReplicaId(settings.id),
    };
    let first_membership = if bootstrap {
        Membership::of_voters(settings.peers.iter().map(|peer| ReplicaId(peer.id)))
    } else {
        Membership::default()
    };
    let directory = FileDirectory::open(&settings.data_dir)?;
    let seed = rand::rng().random();
    let params = ControlParams {
        index_region: settings.index_region.clone(),
        ..ControlParams::default()
    };
    Ok(ControlCore::open(
        directory,
        &identity,
        first_membership,
        params,
        seed,
    )?)
}

fn serve(
    settings: &ControlSettings,
    registry: &SharedRegistry,
    handle: &ControlHandle,
) -> io::Result<Server> {
    let credentials = Credentials {
        identity: Identity::Control(settings.id),
        key: settings.cluster_key.clone(),
    };
    let acceptor = members::Acceptor::new(registry.clone(), handle.clone());
    let internal = links::listen(settings.internal_listen, credentials.clone(), move |link| {
        acceptor.serve(link);
    })?;
    members::dial_peers(settings, &credentials, registry, handle);
    probes::start(settings, handle)?;
    let api = Api::new(settings, registry.clone(), handle.clone());
    let server = Server::start(settings.listen, ServerParams::default(), api)?;
    tracing::info!(
        "control: replica {} serves operators at {} and the cluster at {internal}",
        settings.id,
        server.address()
    );
    Ok(server)
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
