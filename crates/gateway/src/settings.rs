//! The settings that a process is started with.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use drumshore_gateway_core::{ControlParams, RouterParams};

/// Returns the addresses of some control machines. Called repeatedly, because they may change.
pub type SeedSource = Rc<dyn Fn() -> Vec<Ipv4Addr>>;

/// Settings of a router.
#[derive(Clone)]
pub struct RouterSettings {
    /// This machine's name, for logs.
    pub node: String,
    /// The address that callers connect to.
    pub listen: SocketAddr,
    /// The address that serves the platform's readiness checks.
    pub ready_listen: SocketAddr,
    /// The address that serves metrics.
    pub metrics_listen: Option<SocketAddr>,
    /// The port at which control machines accept links from routers and from each other.
    pub internal_port: u16,
    /// Returns the addresses of some control machines.
    pub seeds: SeedSource,
    /// Memory of the machine, in bytes.
    pub memory_bytes: u64,
    /// File descriptors that the process may have open, if they are limited.
    pub max_descriptors: Option<usize>,
    /// Time from the stop signal until the process is killed.
    pub grace: Duration,
    /// The longest time for which any caller uses a cached directory answer.
    pub directory_max_age: Duration,
    /// Parameters of the router's decisions.
    pub params: RouterParams,
}

/// Settings of a control machine.
#[derive(Clone)]
pub struct ControlSettings {
    /// This machine's name, for logs; also sent as the holder in its orders.
    pub node: String,
    /// This machine's address.
    pub ip: Ipv4Addr,
    /// The address that operators and back ends call.
    pub listen: SocketAddr,
    /// The address at which callers request the directory of routers, when it is a separate one.
    pub directory_listen: Option<SocketAddr>,
    /// The address that serves metrics.
    pub metrics_listen: Option<SocketAddr>,
    /// The port that accepts links from routers and other control machines.
    pub internal_port: u16,
    /// Returns the addresses of some control machines.
    pub seeds: SeedSource,
    /// True when the cluster is started for the first time.
    pub bootstrap: bool,
    /// Memory of the machine, in bytes.
    pub memory_bytes: u64,
    /// File descriptors that the process may have open.
    pub max_descriptors: usize,
    /// The folder that stores the state.
    pub data_dir: PathBuf,
    /// How long callers may cache a directory answer.
    pub directory_ttl: Duration,
    /// Parameters of the control machine's decisions.
    pub params: ControlParams,
}
