//! Requests of a run, the same for every policy.

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

/// Microseconds of a run.
pub type RunMicros = u64;

/// Microseconds of a second.
pub const SECOND: RunMicros = 1_000_000;
/// Time between two shifts of hot prompts under that fault.
const SHIFT_EVERY: RunMicros = 30 * SECOND;
/// Time between two shifts of hot prompts otherwise.
const SHIFT_SLOWLY: RunMicros = 90 * SECOND;
/// Exponent of the popularity of documents.
const SKEW: f64 = 1.1;
/// Part of an account's requests that go to its hot document.
const HOT_SHARE: f64 = 0.25;

/// One request of a run.
#[derive(Clone, Debug)]
pub struct RunRequest {
    /// When it comes.
    pub at: RunMicros,
    /// Entry host it comes to.
    pub host: usize,
    /// Account.
    pub account: usize,
    /// Shared levels.
    pub levels: Vec<LevelPrefix>,
    /// Last whole block of each level.
    pub level_blocks: Vec<u64>,
    /// Blocks of the whole prompt.
    pub chain: BlockChain,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub answer_tokens: u64,
}

/// Draws the requests of a run.
struct RequestSource<'a> {
    /// Deployment.
    shape: &'a DeploymentShape,
    /// Draws.
    rng: StdRng,
    /// Time between two shifts.
    shift_every: RunMicros,
    /// Accounts change places at shifts too.
    accounts_shift: bool,
}

/// All requests of a run, in their order.
pub fn requests(shape: &DeploymentShape, faults: &FaultPlan, seed: u64) -> Vec<RunRequest> {
    let mut source = RequestSource {
        shape,
        rng: StdRng::seed_from_u64(seed),
        shift_every: match faults.hot_shift {
            true => SHIFT_EVERY,
            false => SHIFT_SLOWLY,
        },
        accounts_shift: faults.hot_shift,
    };
    let end = shape.length.as_micros() as RunMicros;
    let mut requests = Vec::new();
    let mut now = 0;
    loop {
        now += source.pause(now);
        if now >= end {
            return requests;
        }
        let request = source.draw(now);
        requests.push(request);
    }
}

impl RequestSource<'_> {
    /// Time to the next request; the surge takes the fifth sixth-part of the run.
    fn pause(&mut self, now: RunMicros) -> RunMicros {
        let length = self.shape.length.as_micros() as RunMicros;
        let sixth = now * 6 / length;
        let times = match sixth {
            4 => self.shape.surge,
            _ => 1.0,
        };
        let mean = SECOND as f64 / (self.shape.requests_per_s * times);
        let drawn: f64 = self.rng.random_range(1e-9..1.0);
        (-drawn.ln() * mean) as RunMicros + 1
    }

    /// One request.
    fn draw(&mut self, now: RunMicros) -> RunRequest {
        let shift = now / self.shift_every;
        let account = self.draw_account(shift);
        let (kind, prompt) = self.draw_prompt();
        let host = self.rng.random_range(0..self.shape.host_domains.len());
        let document = self.draw_document(&prompt, account, shift);
        let own = self.rng.random::<u64>();
        let mut builder = ChainBuilder::new(account as u64 * 16 + kind as u64);
        builder.level(prompt.account_tokens, 0);
        if prompt.sections > 0 {
            let section = document % prompt.sections;
            builder.level(prompt.section_tokens, 1 + section as u64);
        }
        if prompt.documents > 0 {
            builder.level(prompt.document_tokens, 1_000 + document as u64);
        }
        builder.own(prompt.own_tokens, own);
        RunRequest {
            at: now,
            host,
            account,
            prompt_tokens: builder.tokens,
            answer_tokens: prompt.answer_tokens,
            levels: builder.levels,
            level_blocks: builder.level_blocks,
            chain: Arc::from(builder.chain),
        }
    }

    /// An account by its share.
    fn draw_account(&mut self, shift: u64) -> usize {
        let mut drawn: f64 = self.rng.random();
        let accounts = self.shape.account_shares.len();
        let moved = match self.accounts_shift {
            true => shift as usize * 3,
            false => 0,
        };
        for (place, share) in self.shape.account_shares.iter().enumerate() {
            drawn -= share;
            if drawn <= 0.0 {
                return (place + moved) % accounts;
            }
        }
        accounts - 1
    }

    /// A kind of prompt by its share.
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

    /// A document: the hot one of the moment, or one by its popularity.
    fn draw_document(&mut self, prompt: &PromptShape, account: usize, shift: u64) -> usize {
        if prompt.documents == 0 {
            return 0;
        }
        if self.rng.random_bool(HOT_SHARE) {
            return (account * 5 + shift as usize * 11) % prompt.documents;
        }
        let drawn: f64 = self.rng.random();
        let count = prompt.documents as f64;
        let power = 1.0 - SKEW;
        let rank = (1.0 + drawn * (count.powf(power) - 1.0)).powf(1.0 / power);
        (rank as usize).saturating_sub(1).min(prompt.documents - 1)
    }
}

/// Builds the blocks of a prompt level by level.
struct ChainBuilder {
    /// Hash of what came before.
    parent: u64,
    /// Tokens so far.
    tokens: u64,
    /// Blocks so far.
    chain: Vec<u64>,
    /// Levels so far.
    levels: Vec<LevelPrefix>,
    /// Last block of each level.
    level_blocks: Vec<u64>,
}

impl ChainBuilder {
    /// A prompt that starts from a root.
    fn new(root: u64) -> Self {
        Self {
            parent: mix(root + 1),
            tokens: 0,
            chain: Vec::new(),
            levels: Vec::new(),
            level_blocks: Vec::new(),
        }
    }

    /// Adds a shared level.
    fn level(&mut self, tokens: u64, variant: u64) {
        self.blocks(tokens, variant);
        // Odd numbers mark the last blocks of levels, which are the ones routers hear of.
        if let Some(last) = self.chain.last_mut() {
            *last |= 1;
            self.level_blocks.push(*last);
        }
        self.levels.push(LevelPrefix {
            id: self.parent,
            tokens: self.tokens,
        });
    }

    /// Adds words that nobody shares.
    fn own(&mut self, tokens: u64, own: u64) {
        self.blocks(tokens, own);
    }

    /// Adds the blocks of a text.
    fn blocks(&mut self, tokens: u64, variant: u64) {
        self.parent = mix(self.parent ^ mix(variant));
        for number in 0..tokens / BLOCK_TOKENS {
            self.chain.push(mix(self.parent ^ number) & !1);
        }
        self.tokens += tokens;
    }
}

/// Whether routers hear of a block.
pub fn is_level_block(block: u64) -> bool {
    block % 2 == 1
}

/// Spreads the bits of a number (the finalizer of SplitMix64).
pub fn mix(number: u64) -> u64 {
    let number = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
