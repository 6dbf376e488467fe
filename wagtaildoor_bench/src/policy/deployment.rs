//! The two deployments as the experiments run them.

use std::time::Duration;

/// One kind of prompt: its shared levels, its own words, its answer.
#[derive(Clone, Copy, Debug)]
pub struct PromptShape {
    /// Share of the requests.
    pub share: f64,
    /// Tokens of the level that a whole account shares.
    pub account_tokens: u64,
    /// Different middle levels of an account; 0 for none.
    pub sections: usize,
    /// Tokens of a middle level.
    pub section_tokens: u64,
    /// Different inner levels of an account; 0 for none.
    pub documents: usize,
    /// Tokens of an inner level.
    pub document_tokens: u64,
    /// Tokens that nobody shares.
    pub own_tokens: u64,
    /// Tokens of the answer.
    pub answer_tokens: u64,
}

/// A deployment: endpoints, hosts, accounts, traffic.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentShape {
    /// Name in tables.
    pub name: &'static str,
    /// Failure domain of each endpoint.
    pub endpoint_domains: &'static [usize],
    /// Failure domain of each entry host.
    pub host_domains: &'static [usize],
    /// Names of failure domains.
    pub domains: &'static [&'static str],
    /// Shares of the client accounts, the largest first.
    pub account_shares: &'static [f64],
    /// Kinds of prompts.
    pub prompts: &'static [PromptShape],
    /// Requests a second outside of the surge.
    pub requests_per_s: f64,
    /// Times the requests that come in the surge.
    pub surge: f64,
    /// Length of a run.
    pub length: Duration,
    /// Tokens an engine's cache holds.
    pub cache_tokens: u64,
    /// Prompt tokens an engine prefills a second.
    pub prefill_tokens_per_s: f64,
    /// Requests in an engine's batch.
    pub batch_limit: u32,
    /// Time a request has for its first token.
    pub deadline: Duration,
}

/// Twelve drafters; long glossaries, dialects and chapters.
pub const PUBLISHER: DeploymentShape = DeploymentShape {
    name: "publisher",
    endpoint_domains: &[0, 0, 0, 0, 1, 1, 1, 1, 2, 2, 2, 2],
    host_domains: &[0, 0, 1, 1, 2],
    domains: &["kl-a", "pg-b", "jb-c"],
    account_shares: &[0.34, 0.24, 0.13, 0.10, 0.08, 0.05, 0.04, 0.02],
    prompts: &[PromptShape {
        share: 1.0,
        account_tokens: 12_000,
        sections: 6,
        section_tokens: 2_000,
        documents: 40,
        document_tokens: 1_008,
        own_tokens: 192,
        answer_tokens: 60,
    }],
    requests_per_s: 45.0,
    surge: 1.5,
    length: Duration::from_secs(240),
    cache_tokens: 64_000,
    prefill_tokens_per_s: 10_000.0,
    batch_limit: 32,
    deadline: Duration::from_secs(30),
};

/// Eighteen assistants; whole pitch histories and short yes or no, with Carnival in the middle.
pub const DESK: DeploymentShape = DeploymentShape {
    name: "permits desk",
    endpoint_domains: &[0, 0, 0, 0, 0, 1, 1, 1, 1, 1, 2, 2, 2, 2, 3, 3, 3, 3],
    host_domains: &[0, 0, 1, 2, 3],
    domains: &["savannah", "woodford", "st-james", "belmont"],
    account_shares: &[0.36, 0.22, 0.14, 0.10, 0.07, 0.05, 0.04, 0.02],
    prompts: &[
        PromptShape {
            share: 0.35,
            account_tokens: 2_000,
            sections: 0,
            section_tokens: 0,
            documents: 150,
            document_tokens: 3_008,
            own_tokens: 144,
            answer_tokens: 80,
        },
        PromptShape {
            share: 0.65,
            account_tokens: 800,
            sections: 0,
            section_tokens: 0,
            documents: 0,
            document_tokens: 0,
            own_tokens: 64,
            answer_tokens: 2,
        },
    ],
    requests_per_s: 160.0,
    surge: 1.8,
    length: Duration::from_secs(180),
    cache_tokens: 96_000,
    prefill_tokens_per_s: 12_000.0,
    batch_limit: 32,
    deadline: Duration::from_secs(10),
};

/// What goes wrong in a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultPlan {
    /// An engine crashes every 20 s, and is back empty after 2 s.
    pub crashes: bool,
    /// Share of cache events that are lost.
    pub event_loss: f64,
    /// Load reports are 5 s old.
    pub load_lag: bool,
    /// Hot prompts and large accounts change places every 30 s.
    pub hot_shift: bool,
    /// All entries restart in the middle.
    pub herd_restart: bool,
}

/// A plan with its name.
#[derive(Clone, Copy, Debug)]
pub struct NamedFault {
    /// Name in tables.
    pub name: &'static str,
    /// Plan.
    pub plan: FaultPlan,
}

/// No fault.
const NONE: FaultPlan = FaultPlan {
    crashes: false,
    event_loss: 0.0,
    load_lag: false,
    hot_shift: false,
    herd_restart: false,
};

/// Every plan that is measured: none, each alone, pairs, and no cache events at all.
pub const FAULTS: [NamedFault; 11] = [
    NamedFault {
        name: "no fault",
        plan: NONE,
    },
    NamedFault {
        name: "engine crashes",
        plan: FaultPlan {
            crashes: true,
            ..NONE
        },
    },
    NamedFault {
        name: "event loss 30%",
        plan: FaultPlan {
            event_loss: 0.3,
            ..NONE
        },
    },
    NamedFault {
        name: "load lag 5 s",
        plan: FaultPlan {
            load_lag: true,
            ..NONE
        },
    },
    NamedFault {
        name: "hot shift",
        plan: FaultPlan {
            hot_shift: true,
            ..NONE
        },
    },
    NamedFault {
        name: "herd restart",
        plan: FaultPlan {
            herd_restart: true,
            ..NONE
        },
    },
    NamedFault {
        name: "crashes + event loss",
        plan: FaultPlan {
            crashes: true,
            event_loss: 0.3,
            ..NONE
        },
    },
    NamedFault {
        name: "herd restart + load lag",
        plan: FaultPlan {
            herd_restart: true,
            load_lag: true,
            ..NONE
        },
    },
    NamedFault {
        name: "hot shift + event loss",
        plan: FaultPlan {
            hot_shift: true,
            event_loss: 0.3,
            ..NONE
        },
    },
    NamedFault {
        name: "crashes + load lag",
        plan: FaultPlan {
            crashes: true,
            load_lag: true,
            ..NONE
        },
    },
    NamedFault {
        name: "no cache events",
        plan: FaultPlan {
            event_loss: 1.0,
            ..NONE
        },
    },
];
