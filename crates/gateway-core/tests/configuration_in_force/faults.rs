//! The faults of a simulated run.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Control machines are numbered from 1, routers from 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// These machines and the others do not reach each other.
    PartitionControls(Vec<u8>),
    /// Each of these machines reaches no other one.
    IsolateControls(Vec<u8>),
    /// Messages from this machine to other machines are lost.
    DropSentByControl(u8),
    /// Messages from other machines to this machine are lost.
    DropSentToControl(u8),
    FreezeControl(u8),
    /// The process stops, and starts again with its disk at the end of the fault.
    KillControl(u8),
    /// Messages between router and machine are lost in the directions that are set.
    CutRouter {
        router: usize,
        machine: u8,
        to_machine: bool,
        to_router: bool,
    },
    /// Messages between the router and these machines are lost in both directions.
    IsolateRouter {
        router: usize,
        machines: Vec<u8>,
    },
    FreezeRouter(usize),
    /// The process stops, and starts again without state at the end of the fault.
    KillRouter(usize),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub from: Duration,
    pub until: Duration,
    pub kind: FaultKind,
}

/// Generates random faults that begin within a run and may overlap.
pub fn random_faults(seed: u64, routers: usize, machines: u8, run: Duration) -> Vec<Fault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let count = random.random_range(3..9);
    (0..count)
        .map(|_| {
            let from = Duration::from_millis(random.random_range(5_000..run.as_millis() as u64));
            let lasts = Duration::from_millis(random.random_range(100..12_000));
            Fault {
                from,
                until: from + lasts,
                kind: random_kind(&mut random, routers, machines),
            }
        })
        .collect()
}

fn random_kind(random: &mut ChaCha8Rng, routers: usize, machines: u8) -> FaultKind {
    let minority = (machines - 1) / 2;
    let machine = random.random_range(1..=machines);
    let router = random.random_range(0..routers);
    match random.random_range(0..14) {
        0..=2 => FaultKind::PartitionControls(some_machines(random, minority, machines)),
        3 | 4 => FaultKind::IsolateControls(some_machines(random, minority, machines)),
        5 => FaultKind::DropSentByControl(machine),
        6 => FaultKind::DropSentToControl(machine),
        7 => FaultKind::FreezeControl(machine),
        8 => FaultKind::KillControl(machine),
        9 => {
            let to_machine = random.random();
            FaultKind::CutRouter {
                router,
                machine,
                to_machine,
                to_router: !to_machine || random.random(),
            }
        }
        10 => FaultKind::FreezeRouter(router),
        11 => FaultKind::IsolateRouter {
            router,
            machines: (1..=machines).collect(),
        },
        12 => FaultKind::IsolateRouter {
            router,
            machines: some_machines(random, machines, machines),
        },
        _ => FaultKind::KillRouter(router),
    }
}

fn some_machines(random: &mut ChaCha8Rng, max_count: u8, machines: u8) -> Vec<u8> {
    let count = random.random_range(1..=max_count.max(1));
    let mut sampled: Vec<u8> = (0..count)
        .map(|_| random.random_range(1..=machines))
        .collect();
    sampled.sort_unstable();
    sampled.dedup();
    sampled
}
