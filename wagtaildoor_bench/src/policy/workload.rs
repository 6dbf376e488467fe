//! Random requests of a run, equal for every policy with the same seed.

use std::sync::Arc;

use rand::{
    rngs::StdRng,
    Rng,
    SeedableRng, //
};
use wagtaildoor::prefix::LevelPrefix;
use wagtaildoor_fakes::fake_engine::prompt_blocks::{
    BlockChain,
    BLOCK_TOKENS, //
};

use super::deployment::{
    DeploymentShape,
    FaultPlan,
    PromptShape, //
};

/// Simulation time or duration, in microseconds.
pub type SimMicros = u64;

/// One second in microseconds.
pub const SECOND: SimMicros = 1_000_000;
/// Interval between changes of the hot documents under the hot shift fault.
const FAULT_SHIFT_INTERVAL: SimMicros = 30 * SECOND;
/// Interval between changes of the hot documents without that fault.
const NORMAL_SHIFT_INTERVAL: SimMicros = 90 * SECOND;
/// Exponent of the power law of document popularity.
const POPULARITY_EXPONENT: f64 = 1.1;
/// Fraction of an account's requests that use its hot document.
const HOT_SHARE: f64 = 0.25;

/// Generated request.
#[derive(Clone, Debug)]
pub struct RunRequest {
    /// Time of arrival.
    pub arrival: SimMicros,
    /// Index of the entry host that receives it.
    pub host: usize,
    /// Index of the client account.
    pub account: usize,
    /// Shared prompt levels, outermost first.
    pub levels: Vec<LevelPrefix>,
    /// Hash of the last whole block of each level.
    pub level_blocks: Vec<u64>,
    /// Block hashes of the whole prompt.
    pub chain: BlockChain,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Length of the answer, in tokens.
    pub answer_tokens: u64,
}

/// Random generator of requests.
struct RequestGenerator<'a> {
    /// Simulated deployment.
    shape: &'a DeploymentShape,
    rng: StdRng,
    /// Interval between changes of the hot documents.
    shift_interval: SimMicros,
    /// Whether the largest accounts change along with the hot documents.
    has_account_shift: bool,
}

/// Generates all requests of a run, in order of arrival.
pub fn generate_requests(
    shape: &DeploymentShape,
    faults: &FaultPlan,
    seed: u64,
) -> Vec<RunRequest> {
    let mut generator = RequestGenerator {
        shape,
        rng: StdRng::seed_from_u64(seed),
        shift_interval: match faults.hot_shift {
            true => FAULT_SHIFT_INTERVAL,
            false => NORMAL_SHIFT_INTERVAL,
        },
        has_account_shift: faults.hot_shift,
    };
    let end = shape.duration.as_micros() as SimMicros;
    let mut requests = Vec::new();
    let mut now = 0;
    loop {
        now += generator.draw_interval(now);
        if now >= end {
            return requests;
        }
        let request = generator.draw_request(now);
        requests.push(request);
    }
}

impl RequestGenerator<'_> {
    /// Draws the time to the next request; the surge lasts from 4/6 to 5/6 of the run.
    fn draw_interval(&mut self, now: SimMicros) -> SimMicros {
        let duration = self.shape.duration.as_micros() as SimMicros;
        let sixth = now * 6 / duration;
        let rate_factor = match sixth {
            4 => self.shape.surge_factor,
            _ => 1.0,
        };
        let mean = SECOND as f64 / (self.shape.requests_per_s * rate_factor);
        let drawn: f64 = self.rng.random_range(1e-9..1.0);
        (-drawn.ln() * mean) as SimMicros + 1
    }

    /// Draws one request that arrives at `now`.
    fn draw_request(&mut self, now: SimMicros) -> RunRequest {
        let shift = now / self.shift_interval;
        let account = self.draw_account(shift);
        let (kind, prompt) = self.draw_prompt();
        let host = self.rng.random_range(0..self.shape.host_domains.len());
        let document = self.draw_document(&prompt, account, shift);
        let own = self.rng.random::<u64>();
        let mut builder = ChainBuilder::new(account as u64 * 16 + kind as u64);
        builder.add_level(prompt.account_tokens, 0);
        if prompt.sections > 0 {
            let section = document % prompt.sections;
            builder.add_level(prompt.section_tokens, 1 + section as u64);
        }
        if prompt.documents > 0 {
            builder.add_level(prompt.document_tokens, 1_000 + document as u64);
        }
        builder.add_own_text(prompt.own_tokens, own);
        RunRequest {
            arrival: now,
            host,
            account,
            prompt_tokens: builder.tokens,
            answer_tokens: prompt.answer_tokens,
            levels: builder.levels,
            level_blocks: builder.level_blocks,
            chain: Arc::from(builder.chain),
        }
    }

    /// Draws an account by its share of the requests.
    fn draw_account(&mut self, shift: u64) -> usize {
        let mut drawn: f64 = self.rng.random();
        let accounts = self.shape.account_shares.len();
        let offset = match self.has_account_shift {
            true => shift as usize * 3,
            false => 0,
        };
        for (index, share) in self.shape.account_shares.iter().enumerate() {
            drawn -= share;
            if drawn <= 0.0 {
                return (index + offset) % accounts;
            }
        }
        accounts - 1
    }

    /// Draws a kind of prompt by its share of the requests.
    fn draw_prompt(&mut self) -> (usize, PromptShape) {
        let mut drawn: f64 = self.rng.random();
        let last = self.shape.prompts.len() - 1;
        for (kind, prompt) in self.shape.prompts.iter().enumerate() {
            drawn -= prompt.share;
            if drawn <= 0.0 {
                return (kind, *prompt);
            }
        }
        (last, self.shape.prompts[last])
    }

    /// Draws a document: either the account's current hot one, or any one by popularity.
    fn draw_document(&mut self, prompt: &PromptShape, account: usize, shift: u64) -> usize {
        if prompt.documents == 0 {
            return 0;
        }
        if self.rng.random_bool(HOT_SHARE) {
            return (account * 5 + shift as usize * 11) % prompt.documents;
        }
        let drawn: f64 = self.rng.random();
        let count = prompt.documents as f64;
        let power = 1.0 - POPULARITY_EXPONENT;
        let rank = (1.0 + drawn * (count.powf(power) - 1.0)).powf(1.0 / power);
        (rank as usize).saturating_sub(1).min(prompt.documents - 1)
    }
}

/// Builds the block hashes of a prompt, level by level.
struct ChainBuilder {
    /// Hash of the text added so far.
    parent: u64,
    /// Tokens added so far.
    tokens: u64,
    /// Block hashes so far.
    chain: Vec<u64>,
    /// Shared levels so far.
    levels: Vec<LevelPrefix>,
    /// Last block of each shared level.
    level_blocks: Vec<u64>,
}

impl ChainBuilder {
    /// Starts a prompt; prompts with different roots share no blocks.
    fn new(root: u64) -> Self {
        Self {
            parent: mix_bits(root + 1),
            tokens: 0,
            chain: Vec::new(),
            levels: Vec::new(),
            level_blocks: Vec::new(),
        }
    }

    /// Adds a shared level.
    fn add_level(&mut self, tokens: u64, variant: u64) {
        self.add_blocks(tokens, variant);
        // Odd hashes mark the last blocks of levels; engines publish cache events only for these.
        if let Some(last) = self.chain.last_mut() {
            *last |= 1;
            self.level_blocks.push(*last);
        }
        self.levels.push(LevelPrefix {
            id: self.parent,
            tokens: self.tokens,
        });
    }

    /// Adds the part of the prompt that is unique to the request.
    fn add_own_text(&mut self, tokens: u64, own: u64) {
        self.add_blocks(tokens, own);
    }

    /// Adds the blocks of a text, identified by `variant`.
    fn add_blocks(&mut self, tokens: u64, variant: u64) {
        self.parent = mix_bits(self.parent ^ mix_bits(variant));
        for number in 0..tokens / BLOCK_TOKENS {
            self.chain.push(mix_bits(self.parent ^ number) & !1);
        }
        self.tokens += tokens;
    }
}

/// Whether a block is the last one of a level, whose cache events engines publish.
pub fn is_level_block(block: u64) -> bool {
    block % 2 == 1
}

/// Mixes the bits of a number (the finalizer of SplitMix64).
pub fn mix_bits(number: u64) -> u64 {
    let number = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
