//! `wtd templates`: shows the templates in force.

use clap::ArgMatches;
use serde::Serialize;
use wagtaildoor::schema::{
    Configuration,
    LevelText,
    Template, //
};

use crate::{
    client::OperatorClient,
    exit::{
        Result,
        ToolError, //
    },
    output::CommandOutput,
    table::TextTable,
    verbs,
};

/// Template and the texts of its levels, as JSON prints them.
#[derive(Debug, Serialize)]
struct TemplateWithTexts {
    template: Template,
    /// Texts from the outermost to the innermost level, without those that the keeper lacks.
    texts: Vec<LevelText>,
}

/// Shows all templates, or one with its texts.
///
/// Fails with [`ToolError::NotFound`] if the given template is not in force.
pub async fn run(client: &OperatorClient, matches: &ArgMatches) -> Result<CommandOutput> {
    let in_force = client.get_configuration().await?.configuration;
    let json = matches.get_flag("json");
    let Some(id) = verbs::text_arg(matches, "template") else {
        return Ok(CommandOutput::render(
            json,
            &in_force.templates,
            |templates| render_table(templates),
        ));
    };
    let found = in_force.templates.iter().find(|known| &*known.id == id);
    let found = found.ok_or_else(|| {
        let text = format!("no template {id} is in force");
        ToolError::NotFound(text.into())
    })?;
    let details = TemplateWithTexts {
        template: found.clone(),
        texts: level_texts(&in_force, found),
    };
    Ok(CommandOutput::render(json, &details, render_template))
}

/// Returns the texts of a template's levels. Texts that the keeper does not hold are left out.
fn level_texts(in_force: &Configuration, template: &Template) -> Vec<LevelText> {
    let levels = template.levels.iter();
    let find_text = |hash: &str| in_force.texts.iter().find(|text| &*text.hash == hash);
    levels
        .filter_map(|level| find_text(&level.text_hash).cloned())
        .collect()
}

/// Describes whether requests of a template may run more than once.
fn describe_runs(template: &Template) -> &'static str {
    match template.repeatable {
        true => "may repeat",
        false => "at most once",
    }
}

fn render_table(templates: &[Template]) -> String {
    let mut table = TextTable::new(&[
        "TEMPLATE", "POOL", "RUNS", "URGENCY", "DEADLINE", "ACCOUNTS", "LEVELS",
    ]);
    for template in templates {
        let levels = template.levels.iter();
        let levels: Vec<&str> = levels.map(|level| &*level.name).collect();
        table.add_row([
            template.id.to_string(),
            template.pool.to_string(),
            describe_runs(template).to_string(),
            template.urgency.to_string(),
            format!("{} ms", template.deadline_ms),
            verbs::text_or(&template.accounts.join(", "), "all").to_string(),
            verbs::text_or(&levels.join(" > "), "-").to_string(),
        ]);
    }
    table.render()
}

/// Renders the settings and texts of one template.
fn render_template(details: &TemplateWithTexts) -> String {
    let template = &details.template;
    let mut text = format!(
        "template {}\n  pool           {}\n  adapter        {}\n  path           {}\n  \
         runs           {}\n  urgency        {}\n  deadline       {} ms\n  \
         first token    {} ms\n  max tokens     {}\n  accounts       {}\n",
        template.id,
        template.pool,
        verbs::text_or(&template.adapter, "-"),
        verbs::text_or(&template.path, "-"),
        describe_runs(template),
        template.urgency,
        template.deadline_ms,
        template.first_token_ms,
        template.max_tokens,
        verbs::text_or(&template.accounts.join(", "), "all"),
    );
    for level in &template.levels {
        let found = details
            .texts
            .iter()
            .find(|text| text.hash == level.text_hash);
        let body = found.map_or("(this host does not hold the text yet)", |text| &text.text);
        text.push_str(&format!("\nlevel {} ({})\n", level.name, level.text_hash));
        for line in body.lines() {
            text.push_str(&format!("  | {line}\n"));
        }
    }
    text
}
