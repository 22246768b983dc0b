//! The callers' workload of the brief: long nested prefixes, a few large tenants, a hot set that
//! shifts.
//!
//! Prefixes form a tree under each tenant. A request walks down the tree, most often along the
//! path that is hot at the time, and ends in a part of its own.

use drumshore_core::{PlacementGoal, Priority};
use drumshore_routing::{PrefixChain, PrefixRoot, SequenceHash};
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// One level of the tree.
#[derive(Clone, Debug, PartialEq)]
pub struct Level {
    /// Children of each node of the level above.
    pub children: usize,
    /// Blocks that a node adds to the prefix.
    pub blocks: usize,
}

/// What callers ask.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkloadParams {
    /// Tenants.
    pub tenants: usize,
    /// Share of requests that come from the two largest tenants.
    pub large_share: f64,
    /// The tree, from its root.
    pub levels: Vec<Level>,
    /// Share of choices that follow the hot path.
    pub hot_share: f64,
    /// Seconds after which another path is hot.
    pub hot_shift_seconds: f64,
    /// Tokens behind the prefix, at least and at most.
    pub tail_tokens: (u32, u32),
    /// Tokens of the answer, at least and at most.
    pub output_tokens: (u32, u32),
    /// Share of interactive requests.
    pub interactive_share: f64,
    /// Share of requests that can wait.
    pub batch_share: f64,
    /// Share of requests that may not be repeated.
    pub once_share: f64,
}

/// The two users of the brief.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Profile {
    /// Card authorisation: somebody waits at the pump.
    Surtidor,
    /// Slot booking and long plans.
    SoharQuay,
}

impl Profile {
    /// Reads the word of the command line.
    pub fn from_word(word: &str) -> Option<Self> {
        match word {
            "surtidor" => Some(Profile::Surtidor),
            "sohar-quay" => Some(Profile::SoharQuay),
            _ => None,
        }
    }

    /// What it weighs more, by the brief.
    pub fn goal(self) -> PlacementGoal {
        match self {
            Profile::Surtidor => PlacementGoal::Latency,
            Profile::SoharQuay => PlacementGoal::Reuse,
        }
    }

    /// What its callers ask.
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

/// One request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkloadRequest {
    /// Its tenant, counted from 0.
    pub tenant: usize,
    /// Contents of the prefix, one number a block.
    pub blocks: Vec<u64>,
    /// Content of the part of its own.
    pub tail: u64,
    /// Tokens of the part of its own.
    pub tail_tokens: u32,
    /// Tokens of the answer.
    pub output_tokens: u32,
    /// How urgent it is.
    pub priority: Priority,
    /// True when it may not be repeated.
    pub once: bool,
}

impl WorkloadRequest {
    /// Its prompt as text.
    pub fn text(&self, block_tokens: u32) -> String {
        let mut text = String::new();
        for block in &self.blocks {
            append_text(&mut text, *block, block_tokens);
        }
        append_text(&mut text, self.tail, self.tail_tokens);
        text
    }

    /// Its prompt as token numbers.
    pub fn tokens(&self, block_tokens: u32) -> Vec<u32> {
        let token =
            |content: u64, place: u32| xxh3_64_with_seed(&place.to_le_bytes(), content) as u32;
        let mut tokens: Vec<u32> = Vec::new();
        for block in &self.blocks {
            tokens.extend((0..block_tokens).map(|place| token(*block, place)));
        }
        tokens.extend((0..self.tail_tokens).map(|place| token(self.tail, place)));
        tokens
    }

    /// Its prefixes, without making the prompt.
    pub fn chain(&self, root: PrefixRoot, block_tokens: u32) -> PrefixChain {
        let mut parent = root.as_u64();
        let mut hash = |content: u64| {
            parent = xxh3_64_with_seed(&content.to_le_bytes(), parent);
            SequenceHash(parent)
        };
        let mut hashes: Vec<SequenceHash> = self.blocks.iter().map(|block| hash(*block)).collect();
        let whole = u64::from(self.tail_tokens / block_tokens);
        hashes.extend((0..whole).map(|place| hash(self.tail.wrapping_add(place))));
        let prompt_tokens = self.blocks.len() as u32 * block_tokens + self.tail_tokens;
        PrefixChain::from_hashes(hashes, block_tokens, prompt_tokens)
    }
}

/// Four bytes of text stand for a token.
fn append_text(text: &mut String, content: u64, tokens: u32) {
    const TOKENS_PER_WORD: u32 = 4;
    let words = tokens.div_ceil(TOKENS_PER_WORD);
    let start = text.len();
    for place in 0..words {
        let word = xxh3_64_with_seed(&place.to_le_bytes(), content);
        text.push_str(&format!("{word:016x}"));
    }
    text.truncate(start + tokens as usize * drumshore_routing::prefix::TEXT_BYTES_PER_TOKEN);
}

/// Draws requests.
#[derive(Clone, Debug)]
pub struct WorkloadGenerator {
    params: WorkloadParams,
    random: ChaCha8Rng,
    drawn: u64,
    seed: u64,
}

impl WorkloadGenerator {
    /// A generator whose requests follow from the seed.
    pub fn new(params: WorkloadParams, seed: u64) -> Self {
        Self {
            params,
            random: ChaCha8Rng::seed_from_u64(seed),
            drawn: 0,
            seed,
        }
    }

    /// Seconds until the next request of a Poisson process.
    pub fn next_gap(&mut self, requests_per_second: f64) -> f64 {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        -uniform.ln() / requests_per_second
    }

    /// The next request, asked at `seconds`.
    pub fn next_request(&mut self, seconds: f64) -> WorkloadRequest {
        self.drawn += 1;
        let tenant = self.draw_tenant();
        let epoch = (seconds / self.params.hot_shift_seconds) as u64;
        let mut blocks = Vec::new();
        let mut node = tenant as u64;
        for depth in 0..self.params.levels.len() {
            let (children, count) = {
                let level = &self.params.levels[depth];
                (level.children, level.blocks)
            };
            let child = self.draw_child(children, node, epoch);
            node = mix(node, child as u64 + 1);
            blocks.extend((0..count as u64).map(|place| mix(node, place + 1_000)));
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
            tail: mix(self.seed, self.drawn),
            tail_tokens: self.random.random_range(tail.0..=tail.1),
            output_tokens: self.random.random_range(output.0..=output.1),
            priority,
            once: self.random.random::<f64>() < self.params.once_share,
        }
    }

    fn draw_tenant(&mut self) -> usize {
        const LARGE: usize = 2;
        let tenants = self.params.tenants;
        if tenants <= LARGE || self.random.random::<f64>() < self.params.large_share {
            return self.random.random_range(0..LARGE.min(tenants));
        }
        self.random.random_range(LARGE..tenants)
    }

    /// The hot child, or any with falling chance.
    fn draw_child(&mut self, children: usize, node: u64, epoch: u64) -> usize {
        if self.random.random::<f64>() < self.params.hot_share {
            return (mix(node, epoch) % children as u64) as usize;
        }
        // The square of a uniform draw prefers low numbers, as popularity does.
        let uniform: f64 = self.random.random();
        ((uniform * uniform) * children as f64) as usize
    }
}

fn mix(a: u64, b: u64) -> u64 {
    xxh3_64(&[a.to_le_bytes(), b.to_le_bytes()].concat())
}
