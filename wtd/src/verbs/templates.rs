//! `wtd templates`: what is in force.

use clap::ArgMatches;
use serde::Serialize;
use wagtaildoor::schema::{
    Configuration,
    LevelText,
    Template, //
};

use crate::{
    answer::VerbAnswer,
    client::OperatorClient,
    exit::{
        Result,
        ToolError, //
    },
    table::TextTable,
    verbs,
};

/// A template with the texts of its levels.
#[derive(Debug, Serialize)]
struct WholeTemplate {
    /// Template.
    template: Template,
    /// Texts, from the outside in.
    texts: Vec<LevelText>,
}

/// Shows all templates, or one.
pub async fn run(client: &OperatorClient, matches: &ArgMatches) -> Result<VerbAnswer> {
    let in_force = client.in_force().await?.configuration;
    let json = matches.get_flag("json");
    let Some(id) = verbs::text(matches, "template") else {
        return Ok(VerbAnswer::of(json, &in_force.templates, |all| table(all)));
    };
    let found = in_force.templates.iter().find(|known| &*known.id == id);
    let found = found.ok_or_else(|| {
        let text = format!("no template {id} is in force");
        ToolError::NotFound(text.into())
    })?;
    let whole = WholeTemplate {
        template: found.clone(),
        texts: texts(&in_force, found),
    };
    Ok(VerbAnswer::of(json, &whole, one))
}

/// The texts of a template's levels.
fn texts(in_force: &Configuration, template: &Template) -> Vec<LevelText> {
    let levels = template.levels.iter();
    let text = |hash: &str| in_force.texts.iter().find(|text| &*text.hash == hash);
    levels
        .filter_map(|level| text(&level.text_hash).cloned())
        .collect()
}

/// How often a template's requests may run.
fn runs(template: &Template) -> &'static str {
    match template.repeatable {
        true => "may repeat",
        false => "at most once",
    }
}

/// All templates as a table.
fn table(templates: &[Template]) -> String {
    let mut table = TextTable::new(&[
        "TEMPLATE", "POOL", "RUNS", "URGENCY", "DEADLINE", "ACCOUNTS", "LEVELS",
    ]);
    for template in templates {
        let levels = template.levels.iter();
        let levels: Vec<&str> = levels.map(|level| &*level.name).collect();
        table.row([
            template.id.to_string(),
            template.pool.to_string(),
            runs(template).to_string(),
            template.urgency.to_string(),
            format!("{} ms", template.deadline_ms),
            verbs::or_none(&template.accounts.join(", "), "all").to_string(),
            verbs::or_none(&levels.join(" > "), "-").to_string(),
        ]);
    }
    table.text()
}

/// One template with its texts.
fn one(whole: &WholeTemplate) -> String {
    let template = &whole.template;
    let mut text = format!(
        "template {}\n  pool           {}\n  adapter        {}\n  path           {}\n  \
         runs           {}\n  urgency        {}\n  deadline       {} ms\n  \
         first token    {} ms\n  max tokens     {}\n  accounts       {}\n",
        template.id,
        template.pool,
        verbs::or_none(&template.adapter, "-"),
        verbs::or_none(&template.path, "-"),
        runs(template),
        template.urgency,
        template.deadline_ms,
        template.first_token_ms,
        template.max_tokens,
        verbs::or_none(&template.accounts.join(", "), "all"),
    );
    for level in &template.levels {
        let found = whole.texts.iter().find(|text| text.hash == level.text_hash);
        let body = found.map_or("(this host does not hold the text yet)", |text| &text.text);
        text.push_str(&format!("\nlevel {} ({})\n", level.name, level.text_hash));
        for line in body.lines() {
            text.push_str(&format!("  | {line}\n"));
        }
    }
    text
}
