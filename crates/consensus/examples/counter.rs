//! A replicated counter that shows how to embed the library: three replicas in one process, with
//! messages passed directly and data folders in memory.

use std::collections::BTreeMap;

use drumshore_consensus::{
    EntryKind, Envelope, FolderIdentity, Membership, MemoryDirectory, Params, Replica,
    ReplicaError, ReplicaId, Role,
};

const REPLICAS: u64 = 3;

fn open(id: u64) -> Result<Replica<MemoryDirectory>, ReplicaError> {
    let identity = FolderIdentity {
        cluster: "counter".to_owned(),
        replica: ReplicaId(id),
    };
    let voters = Membership::of_voters((1..=REPLICAS).map(ReplicaId));
    Replica::open(
        MemoryDirectory::new(),
        &identity,
        voters,
        Params::default(),
        id,
    )
}

fn main() -> Result<(), ReplicaError> {
    let mut replicas = BTreeMap::new();
    let mut counters = BTreeMap::new();
    for id in 1..=REPLICAS {
        replicas.insert(id, open(id)?);
        counters.insert(id, 0u64);
    }
    let mut network: Vec<Envelope> = Vec::new();
    for round in 0..200 {
        for (id, replica) in &mut replicas {
            replica.raft_mut().tick();
            if round % 10 == 0 && replica.raft().role() == Role::Leader {
                // The increment takes effect only once it is returned as committed.
                let _ = replica.raft_mut().propose(1u64.to_le_bytes().to_vec());
            }
            let output = replica.flush(&mut |message| network.push(message))?;
            let commands = output
                .committed
                .iter()
                .filter(|entry| entry.kind == EntryKind::Command);
            *counters.entry(*id).or_default() += commands.count() as u64;
        }
        for message in std::mem::take(&mut network) {
            if let Some(replica) = replicas.get_mut(&message.to.0) {
                replica.raft_mut().step(message);
            }
        }
    }
    println!("counters after 200 rounds: {counters:?}");
    Ok(())
}
