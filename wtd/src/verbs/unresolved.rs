//! `wtd unresolved`: shows and settles orders for which it is unknown whether they ran.

use clap::ArgMatches;
use wagtaildoor::schema::{
    ClaimSettlement,
    SettleAnswer,
    SettledAs,
    UnresolvedOrder,
    UnresolvedPage, //
};

use crate::{
    client::{
        ChangeOutcome,
        OperatorClient, //
    },
    exit::{
        Result,
        ToolError, //
    },
    output::CommandOutput,
    table::{
        self,
        TextTable, //
    },
    verbs,
};

/// Shows the unresolved orders, or settles one with `--settle`.
pub async fn run(client: &OperatorClient, matches: &ArgMatches) -> Result<CommandOutput> {
    let page: UnresolvedPage = client.get_first("/unresolved").await?;
    match verbs::text_arg(matches, "settle") {
        Some(key) => settle_order(client, matches, key, page.orders).await,
        None => {
            let json = matches.get_flag("json");
            Ok(CommandOutput::render(json, &page.orders, |orders| {
                render_table(orders)
            }))
        }
    }
}

/// Records whether an order ran.
///
/// Fails with [`ToolError::NotAccepted`] if the keeper rejects the settlement.
async fn settle_order(
    client: &OperatorClient,
    matches: &ArgMatches,
    key: &str,
    orders: Vec<UnresolvedOrder>,
) -> Result<CommandOutput> {
    let account = verbs::text_arg(matches, "account");
    let order = find_order(key, account, orders)?;
    let settled = verbs::text_arg(matches, "as").expect("clap requires the argument");
    let settlement = ClaimSettlement {
        account: order.account,
        key: order.key,
        attempt: order.attempt,
        settled: SettledAs::try_from(settled).expect("clap accepts only valid values"),
        by: client.settings.name.clone(),
        note: verbs::text_arg(matches, "note")
            .expect("clap requires the argument")
            .into(),
    };
    match client.send_change("/settle", &settlement).await? {
        ChangeOutcome::Accepted(SettleAnswer { settled: true, .. }) => {
            let text = format!("Settled as {settled}: {key} of {}.\n", settlement.account);
            Ok(CommandOutput::from_text(text))
        }
        ChangeOutcome::Accepted(answer) | ChangeOutcome::Refused(answer) => {
            Err(ToolError::NotAccepted(answer.reason))
        }
    }
}

/// Finds the order with this key, limited to the client account if one is given.
///
/// Fails with [`ToolError::NotFound`] if there is no such order or more than one.
fn find_order(
    key: &str,
    account: Option<&str>,
    orders: Vec<UnresolvedOrder>,
) -> Result<UnresolvedOrder> {
    let is_wanted = |order: &UnresolvedOrder| {
        &*order.key == key && account.is_none_or(|account| &*order.account == account)
    };
    let mut found: Vec<UnresolvedOrder> = orders.into_iter().filter(is_wanted).collect();
    match (found.pop(), found.is_empty()) {
        (Some(order), true) => Ok(order),
        (None, _) => {
            let text = format!("no unresolved order has the key {key}");
            Err(ToolError::NotFound(text.into()))
        }
        (Some(_), false) => {
            let text = format!("several accounts have an order with the key {key}: give --account");
            Err(ToolError::NotFound(text.into()))
        }
    }
}

fn render_table(orders: &[UnresolvedOrder]) -> String {
    if orders.is_empty() {
        return "No order is unresolved.\n".to_string();
    }
    let mut table = TextTable::new(&["ACCOUNT", "TEMPLATE", "KEY", "REQUEST", "HOST", "SINCE"]);
    for order in orders {
        table.add_row([
            order.account.to_string(),
            order.template.to_string(),
            order.key.to_string(),
            order.request.to_string(),
            order.host.to_string(),
            format!("{} ago", table::format_duration(order.age_ms)),
        ]);
    }
    table.render()
}
