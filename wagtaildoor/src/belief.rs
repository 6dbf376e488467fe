//! How far beliefs about caches are right, learnt from answers.

use crate::placement::PlacementPolicy;

/// Part that one answer has in what is learnt.
const SAMPLE_SHARE: f64 = 0.02;

/// Why an endpoint is believed to hold tokens of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BeliefKind {
    /// An answer or event said so, and no event was missed since.
    Certain,
    /// Events were missed since.
    Doubtful,
    /// A request with the same levels is on its way there.
    Expected,
    /// All hosts would have sent the levels there.
    Home,
    /// There is no reason.
    None,
}

/// Tokens of a prompt that an endpoint is believed to hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBelief {
    /// Why.
    pub kind: BeliefKind,
    /// Tokens it holds in any case.
    pub least: f64,
    /// Tokens it holds when the belief is right.
    pub most: f64,
}

/// How often each belief of a pool was right of late.
#[derive(Clone, Copy, Debug)]
pub struct BeliefRates {
    /// Of certain holders.
    certain: f64,
    /// Of doubtful holders.
    doubtful: f64,
    /// Of requests on their way.
    expected: f64,
    /// Of homes.
    home: f64,
}

impl TokenBelief {
    /// No belief.
    pub const NONE: TokenBelief = TokenBelief {
        kind: BeliefKind::None,
        least: 0.0,
        most: 0.0,
    };
}

impl BeliefRates {
    /// Rates before the first answer.
    pub fn new(policy: &PlacementPolicy) -> Self {
        Self {
            certain: 1.0,
            doubtful: policy.doubtful_belief,
            expected: policy.expected_belief,
            home: policy.home_belief,
        }
    }

    /// Tokens to count on.
    pub fn tokens(&self, belief: &TokenBelief) -> f64 {
        let rate = match belief.kind {
            BeliefKind::Certain => self.certain,
            BeliefKind::Doubtful => self.doubtful,
            BeliefKind::Expected => self.expected,
            BeliefKind::Home => self.home,
            BeliefKind::None => 0.0,
        };
        belief.least + rate * (belief.most - belief.least)
    }

    /// Takes the tokens that were found where a belief had sent a request.
    pub fn learn(&mut self, belief: &TokenBelief, found: f64) {
        let span = belief.most - belief.least;
        if span <= 0.0 {
            return;
        }
        let rate = match belief.kind {
            BeliefKind::Certain => &mut self.certain,
            BeliefKind::Doubtful => &mut self.doubtful,
            BeliefKind::Expected => &mut self.expected,
            BeliefKind::Home => &mut self.home,
            BeliefKind::None => return,
        };
        let right = ((found - belief.least) / span).clamp(0.0, 1.0);
        *rate += (right - *rate) * SAMPLE_SHARE;
    }
}
