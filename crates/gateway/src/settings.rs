//! What a process is told at its start.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use drumshore_gateway_core::{ControlParams, RouterParams};

/// Where the addresses of some control machines come from; asked again now and then, for they
/// may change.
pub type SeedSource = Rc<dyn Fn() -> Vec<Ipv4Addr>>;

/// Settings of a router.
#[derive(Clone)]
pub struct RouterSettings {
    /// This machine's name, for logs.
    pub node: String,
    /// Where callers reach it.
    pub listen: SocketAddr,
    /// Where the platform asks whether it is ready.
    pub ready_listen: SocketAddr,
    /// Where metrics are served.
    pub metrics_listen: Option<SocketAddr>,
    /// The port of control machines for routers and for one another.
    pub internal_port: u16,
    /// Some control machines.
    pub seeds: SeedSource,
    /// From the signal to stop until the process is killed.
    pub grace: Duration,
    /// How long callers may go on using a directory answer.
    pub directory_max_age: Duration,
    /// Of its decisions.
    pub params: RouterParams,
}

/// Settings of a control machine.
#[derive(Clone)]
pub struct ControlSettings {
    /// This machine's name; also the holder of its orders.
    pub node: String,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Where operators and back ends call.
    pub listen: SocketAddr,
    /// Where callers ask for routers, when that is another address.
    pub directory_listen: Option<SocketAddr>,
    /// Where metrics are served.
    pub metrics_listen: Option<SocketAddr>,
    /// The port for routers and other control machines.
    pub internal_port: u16,
    /// Some control machines.
    pub seeds: SeedSource,
    /// True when the whole system starts for the first time.
    pub bootstrap: bool,
    /// Descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Where state is kept.
    pub data_dir: PathBuf,
    /// How long callers may keep a directory answer.
    pub directory_ttl: Duration,
    /// Of its decisions.
    pub params: ControlParams,
}
