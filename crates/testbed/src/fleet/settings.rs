//! Settings files of the processes of a fleet, and the resources that operators apply.

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

use drumshore_core::{PlacementGoal, SecretKey};

use super::layout::Layout;

/// Secret that authenticates the processes of the fleet to each other.
pub const CLUSTER_KEY: &str = "a-shared-secret-of-the-test-fleet";

/// Bearer key of the operator.
pub const OPERATOR_KEY: &str = "operator-key-of-the-test-fleet";

/// Name of the model that the fleet serves.
pub const MODEL: &str = "harbour-70b";

/// Name of the pool of all engines.
pub const POOL: &str = "main";

/// Replica id and addresses of a control machine.
#[derive(Clone, Copy, Debug)]
pub struct ControlAddresses {
    /// Replica id.
    pub id: u64,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for routers and other control machines.
    pub internal: SocketAddr,
}

/// Returns the bearer key of a tenant.
pub fn tenant_key(tenant: usize) -> String {
    format!("tenant-{tenant}-key")
}

/// Returns an address with a port that is currently free. It is not reserved: another process may
/// bind it first.
pub fn free_address(ip: IpAddr) -> std::io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

/// Writes the settings file of a control machine. Returns its path.
pub fn write_control(
    folder: &Path,
    own: &ControlAddresses,
    all: &[ControlAddresses],
    platform: &str,
) -> std::io::Result<PathBuf> {
    let peers: Vec<String> = all
        .iter()
        .map(|peer| format!("{{ id = {}, address = \"{}\" }}", peer.id, peer.internal))
        .collect();
    let text = format!(
        "id = {}\ncluster = \"test\"\nlisten = \"{}\"\ninternal_listen = \"{}\"\n\
         data_dir = \"{}\"\npeers = [{}]\ncluster_key = \"{CLUSTER_KEY}\"\n\
         operators = [{{ name = \"operator\", key_hash = \"{}\" }}]\n\
         platform_url = \"{platform}\"\n",
        own.id,
        own.operators,
        own.internal,
        folder.join(format!("control-{}", own.id)).display(),
        peers.join(", "),
        SecretKey::new(OPERATOR_KEY).hash().as_str(),
    );
    write(folder, &format!("control-{}.toml", own.id), &text)
}

/// Writes the settings file of a router. Returns its path.
pub fn write_router(
    folder: &Path,
    name: &str,
    zone: &str,
    listen: SocketAddr,
    controls: &[ControlAddresses],
) -> std::io::Result<PathBuf> {
    let controls: Vec<String> = controls
        .iter()
        .map(|control| format!("\"{}\"", control.internal))
        .collect();
    let text = format!(
        "name = \"{name}\"\nzone = \"{zone}\"\nlisten = \"{listen}\"\ndata_dir = \"{}\"\n\
         control = [{}]\ncluster_key = \"{CLUSTER_KEY}\"\noperator_key_hashes = [\"{}\"]\n",
        folder.join(name).display(),
        controls.join(", "),
        SecretKey::new(OPERATOR_KEY).hash().as_str(),
    );
    write(folder, &format!("{name}.toml"), &text)
}

/// Writes the resource file with model, engine pool and tenants. `draining` names the engines to
/// drain. Returns its path.
pub fn write_resources(
    folder: &Path,
    layout: &Layout,
    draining: &[String],
) -> std::io::Result<PathBuf> {
    let names: Vec<String> = draining.iter().map(|name| format!("\"{name}\"")).collect();
    let mut text = format!(
        "[[resource]]\nkind = \"model\"\nname = \"{MODEL}\"\n\
         spec = {{ weights_version = 1, block_tokens = {}, goal = \"{}\" }}\n\n\
         [[resource]]\nkind = \"engine-pool\"\nname = \"{POOL}\"\n\
         spec = {{ model = \"{MODEL}\", draining = [{}] }}\n\n",
        layout.block_tokens(),
        match layout.profile.goal() {
            PlacementGoal::Latency => "latency",
            PlacementGoal::Reuse => "reuse",
        },
        names.join(", "),
    );
    for tenant in 0..layout.workload().tenants {
        text += &format!(
            "[[resource]]\nkind = \"tenant\"\nname = \"tenant-{tenant}\"\n\
             spec = {{ key_hashes = [\"{}\"] }}\n\n",
            SecretKey::new(tenant_key(tenant)).hash().as_str(),
        );
    }
    write(folder, "resources.toml", &text)
}

fn write(folder: &Path, name: &str, text: &str) -> std::io::Result<PathBuf> {
    let path = folder.join(name);
    std::fs::write(&path, text)?;
    Ok(path)
}
