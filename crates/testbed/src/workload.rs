//! The workload of callers: long nested prompt prefixes, a few large tenants, and a hot set that
//! changes over time.
//!
//! The prefixes of each tenant form a tree. A request follows a path from the root, most often the
//! path that is hot at the time, and ends in a tail that no other request has.

use drumshore_core::{PlacementGoal, Priority};
use drumshore_routing::{PrefixChain, PrefixRoot, SequenceHash};
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// One level of the prefix tree.
#[derive(Clone, Debug, PartialEq)]
pub struct Level {
    /// Number of children of each node of the level above.
    pub children: usize,
    /// Number of blocks that a node adds to the prefix.
    pub blocks: usize,
}

/// Parameters of a generated workload.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkloadParams {
    /// Number of tenants; tenants 0 and 1 are the large ones.
    pub tenants: usize,
    /// Share of requests that come from the two largest tenants.
    pub large_share: f64,
    /// Levels of the prefix tree, from the root.
    pub levels: Vec<Level>,
    /// Probability that a request takes the hot child at each level.
    pub hot_share: f64,
    /// Interval after which another path becomes hot, in seconds.
    pub hot_shift_seconds: f64,
    /// Minimum and maximum number of tokens after the shared prefix.
    pub tail_tokens: (u32, u32),
    /// Minimum and maximum number of tokens of the answer.
    pub output_tokens: (u32, u32),
    /// Share of requests with interactive priority.
    pub interactive_share: f64,
    /// Share of requests with batch priority.
    pub batch_share: f64,
    /// Share of requests that must run at most once.
    pub once_share: f64,
}

/// The two supported user profiles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Profile {
    /// Card authorization at fuel pumps, where a customer waits for the answer.
    Surtidor,
    /// Booking of port slots and long-running planning.
    SoharQuay,
}

impl Profile {
    /// Parses the name used on the command line.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "surtidor" => Some(Profile::Surtidor),
            "sohar-quay" => Some(Profile::SoharQuay),
            _ => None,
        }
    }

    /// The placement goal of the profile.
    pub fn goal(self) -> PlacementGoal {
        match self {
            Profile::Surtidor => PlacementGoal::Latency,
            Profile::SoharQuay => PlacementGoal::Reuse,
        }
    }

    /// The workload of its callers.
    pub fn workload(self) -> WorkloadParams {
        let level = |children, blocks| Level { children, blocks };
        match self {
            Profile::Surtidor => WorkloadParams {
                tenants: 8,
                large_share: 0.5,
                levels: vec![level(2, 2), level(12, 2), level(40, 2)],
                hot_share: 0.6,
                hot_shift_seconds: 60.0,
                tail_tokens: (60, 400),
                output_tokens: (10, 40),
                interactive_share: 0.8,
                batch_share: 0.05,
                once_share: 0.3,
            },
            Profile::SoharQuay => WorkloadParams {
                tenants: 8,
                large_share: 0.5,
                levels: vec![level(2, 4), level(10, 8), level(20, 12)],
                hot_share: 0.6,
                hot_shift_seconds: 90.0,
                tail_tokens: (100, 1_500),
                output_tokens: (40, 200),
                interactive_share: 0.3,
                batch_share: 0.3,
                once_share: 0.2,
            },
        }
    }
}

/// A generated request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkloadRequest {
    /// Number of its tenant, from 0.
    pub tenant: usize,
    /// Content of the shared prefix: a number that identifies the content of each block.
    pub blocks: Vec<u64>,
    /// Number that identifies the content of the tail, which is unique to this request.
    pub tail: u64,
    /// Number of tokens of the tail.
    pub tail_tokens: u32,
    /// Number of tokens of the answer.
    pub output_tokens: u32,
    /// Its scheduling priority.
    pub priority: Priority,
    /// True when the request must run at most once.
    pub once: bool,
}

impl WorkloadRequest {
    /// Returns the prompt as text.
    pub fn text(&self, block_tokens: u32) -> String {
        let mut text = String::new();
        for block in &self.blocks {
            append_text(&mut text, *block, block_tokens);
        }
        append_text(&mut text, self.tail, self.tail_tokens);
        text
    }

    /// Returns the prompt as token ids.
    pub fn tokens(&self, block_tokens: u32) -> Vec<u32> {
        let token = |content: u64, position: u32| {
            xxh3_64_with_seed(&position.to_le_bytes(), content) as u32
        };
        let mut tokens: Vec<u32> = Vec::new();
        for block in &self.blocks {
            tokens.extend((0..block_tokens).map(|position| token(*block, position)));
        }
        tokens.extend((0..self.tail_tokens).map(|position| token(self.tail, position)));
        tokens
    }

    /// Returns prefix hashes without building the prompt. Two requests share a hash where they share
    /// a prefix, but the values differ from the hashes of [`Self::text`] and [`Self::tokens`].
    pub fn chain(&self, root: PrefixRoot, block_tokens: u32) -> PrefixChain {
        let mut parent = root.as_u64();
        let mut hash = |content: u64| {
            parent = xxh3_64_with_seed(&content.to_le_bytes(), parent);
            SequenceHash(parent)
        };
        let mut hashes: Vec<SequenceHash> = self.blocks.iter().map(|block| hash(*block)).collect();
        let tail_blocks = u64::from(self.tail_tokens / block_tokens);
        hashes.extend((0..tail_blocks).map(|position| hash(self.tail.wrapping_add(position))));
        let prompt_tokens = self.blocks.len() as u32 * block_tokens + self.tail_tokens;
        PrefixChain::from_hashes(hashes, block_tokens, prompt_tokens)
    }
}

/// Appends text of the given number of tokens, with
/// [`TEXT_BYTES_PER_TOKEN`](drumshore_routing::prefix::TEXT_BYTES_PER_TOKEN) = 4 bytes a token.
fn append_text(text: &mut String, content: u64, tokens: u32) {
    const TOKENS_PER_WORD: u32 = 4;
    let words = tokens.div_ceil(TOKENS_PER_WORD);
    let start = text.len();
    for position in 0..words {
        let word = xxh3_64_with_seed(&position.to_le_bytes(), content);
        text.push_str(&format!("{word:016x}"));
    }
    text.truncate(start + tokens as usize * drumshore_routing::prefix::TEXT_BYTES_PER_TOKEN);
}

/// Generates requests from a seeded random source.
#[derive(Clone, Debug)]
pub struct WorkloadGenerator {
    params: WorkloadParams,
    random: ChaCha8Rng,
    generated: u64,
    seed: u64,
}

impl WorkloadGenerator {
    /// Creates a generator. The same parameters and seed give the same requests.
    pub fn new(params: WorkloadParams, seed: u64) -> Self {
        Self {
            params,
            random: ChaCha8Rng::seed_from_u64(seed),
            generated: 0,
            seed,
        }
    }

    /// Samples the time until the next request of a Poisson process, in seconds.
    pub fn next_gap(&mut self, requests_per_second: f64) -> f64 {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        -uniform.ln() / requests_per_second
    }

    /// Generates the request that is sent `seconds` after the start, which decides the hot path.
    pub fn next_request(&mut self, seconds: f64) -> WorkloadRequest {
        self.generated += 1;
        let tenant = self.sample_tenant();
        let epoch = (seconds / self.params.hot_shift_seconds) as u64;
        let mut blocks = Vec::new();
        let mut node = tenant as u64;
        for depth in 0..self.params.levels.len() {
            let (children, count) = {
                let level = &self.params.levels[depth];
                (level.children, level.blocks)
            };
            let child = self.sample_child(children, node, epoch);
            node = mix(node, child as u64 + 1);
            blocks.extend((0..count as u64).map(|position| mix(node, position + 1_000)));
        }
        let (tail, output) = (self.params.tail_tokens, self.params.output_tokens);
        let class: f64 = self.random.random();
        let priority = if class < self.params.interactive_share {
            Priority::Interactive
        } else if class > 1.0 - self.params.batch_share {
            Priority::Batch
        } else {
            Priority::Standard
        };
        WorkloadRequest {
            tenant,
            blocks,
            tail: mix(self.seed, self.generated),
            tail_tokens: self.random.random_range(tail.0..=tail.1),
            output_tokens: self.random.random_range(output.0..=output.1),
            priority,
            once: self.random.random::<f64>() < self.params.once_share,
        }
    }

    fn sample_tenant(&mut self) -> usize {
        const LARGE: usize = 2;
        let tenants = self.params.tenants;
        if tenants <= LARGE || self.random.random::<f64>() < self.params.large_share {
            return self.random.random_range(0..LARGE.min(tenants));
        }
        self.random.random_range(LARGE..tenants)
    }

    /// Returns the hot child, or a random one with a preference for low numbers.
    fn sample_child(&mut self, children: usize, node: u64, epoch: u64) -> usize {
        if self.random.random::<f64>() < self.params.hot_share {
            return (mix(node, epoch) % children as u64) as usize;
        }
        // The square of a uniform sample favors low numbers, so that some children are more
        // popular than others.
        let uniform: f64 = self.random.random();
        ((uniform * uniform) * children as f64) as usize
    }
}

fn mix(a: u64, b: u64) -> u64 {
    xxh3_64(&[a.to_le_bytes(), b.to_le_bytes()].concat())
}
