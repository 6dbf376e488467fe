//! The two simulated deployments, and the faults that are injected into them.

use std::time::Duration;

/// Kind of prompt: sizes of its shared levels, its unshared part and its answer.
#[derive(Clone, Copy, Debug)]
pub struct PromptShape {
    /// Fraction of the deployment's requests that use this kind.
    pub share: f64,
    /// Tokens of the outer level, which all prompts of an account share.
    pub account_tokens: u64,
    /// Number of distinct middle levels per account; 0 for none.
    pub sections: usize,
    /// Tokens of a middle level.
    pub section_tokens: u64,
    /// Number of distinct inner levels per account; 0 for none.
    pub documents: usize,
    /// Tokens of an inner level.
    pub document_tokens: u64,
    /// Tokens that are unique to each request.
    pub own_tokens: u64,
    /// Tokens that the engine generates for each request.
    pub answer_tokens: u64,
}

/// Size and traffic of a simulated deployment.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentShape {
    /// Name in tables and plots.
    pub name: &'static str,
    /// Failure domain of each endpoint, as an index into `domains`.
    pub endpoint_domains: &'static [usize],
    /// Failure domain of each entry host, as an index into `domains`.
    pub host_domains: &'static [usize],
    /// Names of the failure domains.
    pub domains: &'static [&'static str],
    /// Fraction of the requests from each client account, in descending order.
    pub account_shares: &'static [f64],
    /// Kinds of prompts.
    pub prompts: &'static [PromptShape],
    /// Mean request rate outside the surge.
    pub requests_per_s: f64,
    /// Factor on the request rate during the surge.
    pub surge_factor: f64,
    /// Simulated duration of a run.
    pub duration: Duration,
    /// Capacity of an engine's prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Prefill throughput of an engine, in tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Maximum number of requests in an engine's batch.
    pub batch_limit: u32,
    /// Time within which a request needs its first token.
    pub deadline: Duration,
}

/// Twelve drafting engines with long shared glossaries, dialect sections and chapters.
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
    surge_factor: 1.5,
    duration: Duration::from_secs(240),
    cache_tokens: 64_000,
    prefill_tokens_per_s: 10_000.0,
    batch_limit: 32,
    deadline: Duration::from_secs(30),
};

/// Eighteen assistant engines with long pitch histories and short yes-or-no requests.
///
/// The surge stands for Carnival.
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
    surge_factor: 1.8,
    duration: Duration::from_secs(180),
    cache_tokens: 96_000,
    prefill_tokens_per_s: 12_000.0,
    batch_limit: 32,
    deadline: Duration::from_secs(10),
};

/// Faults to inject into a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultPlan {
    /// An engine crashes every 20 s, and restarts with an empty cache after 2 s.
    pub crashes: bool,
    /// Probability that a cache event is lost, from 0 to 1.
    pub event_loss: f64,
    /// Load reports arrive 5 s late.
    pub load_lag: bool,
    /// The hot prompts and the largest accounts change every 30 s.
    pub hot_shift: bool,
    /// All entries restart halfway through the run.
    pub herd_restart: bool,
}

/// Fault plan and its name in reports.
#[derive(Clone, Copy, Debug)]
pub struct NamedFault {
    /// Name in tables and plots.
    pub name: &'static str,
    /// Faults to inject.
    pub plan: FaultPlan,
}

const NO_FAULTS: FaultPlan = FaultPlan {
    crashes: false,
    event_loss: 0.0,
    load_lag: false,
    hot_shift: false,
    herd_restart: false,
};

/// All measured plans: no fault, each fault alone, pairs, and the loss of all cache events.
pub const FAULTS: [NamedFault; 11] = [
    NamedFault {
        name: "no fault",
        plan: NO_FAULTS,
    },
    NamedFault {
        name: "engine crashes",
        plan: FaultPlan {
            crashes: true,
            ..NO_FAULTS
        },
    },
    NamedFault {
        name: "event loss 30%",
        plan: FaultPlan {
            event_loss: 0.3,
            ..NO_FAULTS
        },
    },
    NamedFault {
        name: "load lag 5 s",
        plan: FaultPlan {
            load_lag: true,
            ..NO_FAULTS
        },
    },
    NamedFault {
        name: "hot shift",
        plan: FaultPlan {
            hot_shift: true,
            ..NO_FAULTS
        },
    },
    NamedFault {
        name: "herd restart",
        plan: FaultPlan {
            herd_restart: true,
            ..NO_FAULTS
        },
    },
    NamedFault {
        name: "crashes + event loss",
        plan: FaultPlan {
            crashes: true,
            event_loss: 0.3,
            ..NO_FAULTS
        },
    },
    NamedFault {
        name: "herd restart + load lag",
        plan: FaultPlan {
            herd_restart: true,
            load_lag: true,
            ..NO_FAULTS
        },
    },
    NamedFault {
        name: "hot shift + event loss",
        plan: FaultPlan {
            hot_shift: true,
            event_loss: 0.3,
            ..NO_FAULTS
        },
    },
    NamedFault {
        name: "crashes + load lag",
        plan: FaultPlan {
            crashes: true,
            load_lag: true,
            ..NO_FAULTS
        },
    },
    NamedFault {
        name: "no cache events",
        plan: FaultPlan {
            event_loss: 1.0,
            ..NO_FAULTS
        },
    },
];
