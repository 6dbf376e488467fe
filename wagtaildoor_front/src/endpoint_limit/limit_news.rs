//! Limits of endpoints between their answers, the other hosts and the choice of an endpoint.

use std::time::Duration;

use wagtaildoor::{
    boot_clock::BootInstant,
    schema::LimitNews, //
};

use crate::{
    endpoint::Endpoint,
    endpoint_limit::{
        sender_share::SenderShare,
        LimitStatement, //
    },
    front::Front,
    wire_codec::StatedRate,
};

/// Time after its start for which a host without a list of the hosts takes no part of a limit. Those that are
/// there are heard by then.
const LIST_WAIT: Duration = Duration::from_secs(5);
/// Highest limit that is told apart from others, in requests a second.
const MAX_LIMIT_PER_S: f64 = 1e9;

/// Records what an answer of an endpoint says, and queues it for the other hosts.
pub fn apply_answer(front: &Front, endpoint: &Endpoint, rate: StatedRate, now: BootInstant) {
    let per_s = match rate {
        StatedRate::Unlimited => None,
        StatedRate::PerSecond(per_s) => Some(per_s.min(MAX_LIMIT_PER_S)),
        StatedRate::Unreadable => {
            slog::warn!(front.log, "endpoint limit cannot be read"; "endpoint" => &*endpoint.id);
            return;
        }
    };
    let statement = LimitStatement {
        per_s,
        said_at: now,
    };
    let has_changed = record(front, endpoint, statement, "answer", now);
    let mut limit = endpoint.statements.limit.borrow_mut();
    if has_changed || limit.is_news_due(now) {
        let news = limit.take_news(now).map(|_| LimitNews {
            endpoint: endpoint.key,
            milli_per_s: per_s.map(|per_s| (per_s * 1000.0) as u64),
            age_ms: 0,
        });
        let mut hints = front.hints.borrow_mut();
        news.into_iter().for_each(|news| hints.push_limit(news));
    }
}

/// Records what an endpoint said to another host.
pub fn apply_hint(front: &Front, endpoint: &Endpoint, news: &LimitNews, now: BootInstant) {
    let age = Duration::from_millis(news.age_ms).min(now.since(BootInstant::ZERO));
    let statement = LimitStatement {
        per_s: news.milli_per_s.map(|milli| milli as f64 / 1000.0),
        said_at: now - age,
    };
    record(front, endpoint, statement, "hint", now);
}

/// Whether this host may send a request to an endpoint now, by the endpoint's limit.
pub fn has_room(front: &Front, endpoint: &Endpoint, now: BootInstant) -> bool {
    let mut limit = endpoint.statements.limit.borrow_mut();
    if limit.needs_share(now) {
        limit.set_share(own_share(front, endpoint, now), now);
    }
    limit.has_room(now)
}

/// Records a statement, and logs a change of the limit. Returns whether it has changed.
fn record(
    front: &Front,
    endpoint: &Endpoint,
    statement: LimitStatement,
    source: &'static str,
    now: BootInstant,
) -> bool {
    let mut limit = endpoint.statements.limit.borrow_mut();
    let before = limit.per_s();
    let has_changed = limit.record(statement, now);
    if has_changed {
        let share = own_share(front, endpoint, now);
        limit.set_share(share, now);
        slog::info!(front.log, "endpoint limit"; "endpoint" => &*endpoint.id, "by" => source,
            "per_s" => statement.per_s, "before" => before, "own_part" => share.part(),
            "hosts" => share.hosts());
    }
    has_changed
}

/// This host's part of an endpoint's limit; none while it may know too few of the other hosts.
fn own_share(front: &Front, endpoint: &Endpoint, now: BootInstant) -> SenderShare {
    let peers = front.peers.borrow();
    if !peers.has_list() && now.since(front.started) < LIST_WAIT {
        return SenderShare::default();
    }
    let hosts = peers.members().map(|host| &*host.host);
    SenderShare::of_host(endpoint.key, &front.settings.host, hosts)
}
