//! What fails in a simulated run, and when.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Machines are named by their numbers, from 1; routers from 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// These and the others do not reach each other.
    SplitCore(Vec<u8>),
    /// Each of these reaches no other one.
    IsolateCore(Vec<u8>),
    /// What this one sends to others is lost.
    MuteCore(u8),
    /// What others send to this one is lost.
    DeafenCore(u8),
    FreezeCore(u8),
    /// Ends, and starts again with its disk.
    KillCore(u8),
    /// Router and machine do not reach each other, in the directions that are set.
    CutRouter {
        router: usize,
        machine: u8,
        to_machine: bool,
        to_router: bool,
    },
    /// Router and machines do not reach each other.
    IsolateRouter {
        router: usize,
        machines: Vec<u8>,
    },
    FreezeRouter(usize),
    /// Starts again at the end, knowing nothing.
    KillRouter(usize),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub from: Duration,
    pub until: Duration,
    pub kind: Kind,
}

/// Faults that overlap, within a run.
pub fn draw(seed: u64, routers: usize, machines: u8, run: Duration) -> Vec<Fault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let count = random.random_range(3..9);
    (0..count)
        .map(|_| {
            let from = Duration::from_millis(random.random_range(5_000..run.as_millis() as u64));
            let lasts = Duration::from_millis(random.random_range(100..12_000));
            Fault {
                from,
                until: from + lasts,
                kind: draw_kind(&mut random, routers, machines),
            }
        })
        .collect()
}

fn draw_kind(random: &mut ChaCha8Rng, routers: usize, machines: u8) -> Kind {
    let minority = (machines - 1) / 2;
    let machine = random.random_range(1..=machines);
    let router = random.random_range(0..routers);
    match random.random_range(0..14) {
        0..=2 => Kind::SplitCore(some_machines(random, minority, machines)),
        3 | 4 => Kind::IsolateCore(some_machines(random, minority, machines)),
        5 => Kind::MuteCore(machine),
        6 => Kind::DeafenCore(machine),
        7 => Kind::FreezeCore(machine),
        8 => Kind::KillCore(machine),
        9 => {
            let to_machine = random.random();
            Kind::CutRouter {
                router,
                machine,
                to_machine,
                to_router: !to_machine || random.random(),
            }
        }
        10 => Kind::FreezeRouter(router),
        11 => Kind::IsolateRouter {
            router,
            machines: (1..=machines).collect(),
        },
        12 => Kind::IsolateRouter {
            router,
            machines: some_machines(random, machines, machines),
        },
        _ => Kind::KillRouter(router),
    }
}

fn some_machines(random: &mut ChaCha8Rng, most: u8, machines: u8) -> Vec<u8> {
    let count = random.random_range(1..=most.max(1));
    let mut drawn: Vec<u8> = (0..count)
        .map(|_| random.random_range(1..=machines))
        .collect();
    drawn.sort_unstable();
    drawn.dedup();
    drawn
}
