//! Settings files of a fleet's processes, and the resources its operators write.

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

use drumshore_core::{PlacementGoal, SecretKey};

use super::layout::Layout;

/// The secret that the fleet's processes share.
pub const CLUSTER_KEY: &str = "a-shared-secret-of-the-test-fleet";

/// The operator's key.
pub const OPERATOR_KEY: &str = "operator-key-of-the-test-fleet";

/// The model that the fleet serves.
pub const MODEL: &str = "harbour-70b";

/// The pool of all its engines.
pub const POOL: &str = "main";

/// One control machine's addresses.
#[derive(Clone, Copy, Debug)]
pub struct ControlAddresses {
    /// Its replica number.
    pub id: u64,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where routers and control machines connect.
    pub internal: SocketAddr,
}

/// The bearer key of a tenant.
pub fn tenant_key(tenant: usize) -> String {
    format!("tenant-{tenant}-key")
}

/// An address that nobody listens at now.
pub fn free_address(ip: IpAddr) -> std::io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

/// Writes a control machine's settings.
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

/// Writes a router's settings.
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

/// Writes the resources that make the fleet serve.
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
