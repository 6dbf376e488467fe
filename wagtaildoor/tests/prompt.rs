//! Rendering of shared levels and substitution of parameters.

use wagtaildoor::{
    error::ErrorKind,
    prompt,
    schema::{
        Account,
        Configuration,
        Level,
        LevelText,
        NamedValue,
        Template,
        Urgency, //
    },
};

fn value(name: &str, value: &str) -> NamedValue {
    NamedValue {
        name: name.into(),
        value: value.into(),
    }
}

/// Account with the parameter `dialect`.
fn account() -> Account {
    Account {
        id: "guides".into(),
        parameters: vec![value("dialect", "Hokkien")],
        requests_per_s: 0,
        token_hash: "".into(),
        weight: 1,
    }
}

/// Configuration and template whose levels have the given texts.
fn template(texts: &[&str]) -> (Configuration, Template) {
    let texts: Vec<LevelText> = texts
        .iter()
        .enumerate()
        .map(|(index, text)| LevelText {
            hash: index.to_string().into(),
            text: (*text).into(),
        })
        .collect();
    let levels = texts
        .iter()
        .map(|text| Level {
            name: format!("level{}", text.hash).into(),
            text_hash: text.hash.clone(),
        })
        .collect();
    let template = Template {
        accounts: vec![],
        adapter: "".into(),
        deadline_ms: 1000,
        first_token_ms: 100,
        id: "draft".into(),
        levels,
        max_tokens: 16,
        path: "".into(),
        pool: "drafter".into(),
        repeatable: true,
        urgency: Urgency::Normal,
    };
    let configuration = Configuration {
        accounts: vec![account()],
        pools: vec![],
        templates: vec![template.clone()],
        texts,
    };
    (configuration, template)
}

#[test]
fn levels_are_rendered_in_order_with_correct_end_offsets() {
    let (configuration, template) = template(&["Glossary.", "Dialect: {dialect}."]);
    let prompt =
        prompt::render(&configuration, &template, &account(), &[], "kopi").expect("a prompt");
    assert_eq!(&*prompt.text, "Glossary.\n\nDialect: Hokkien.\n\nkopi");
    let ends: Vec<usize> = prompt.levels.iter().map(|level| level.end_bytes).collect();
    assert_eq!(ends, [11, 30]);
    assert_eq!(&prompt.text[30..], "kopi");
}

#[test]
fn parameters_are_filled_in() {
    let request = [value("dialect", "Teochew {dialect}")];
    let cases: [(&str, &str, &[NamedValue], &str); 5] = [
        ("of the account", "{dialect}", &[], "Hokkien"),
        (
            "of the request first, as plain text",
            "{dialect}",
            &request,
            "Teochew {dialect}",
        ),
        ("twice", "{dialect}{dialect}", &[], "HokkienHokkien"),
        (
            "braces of other texts stay",
            "{\"a\": {}} {",
            &[],
            "{\"a\": {}} {",
        ),
        (
            "letters of any alphabet",
            "潮州 {dialect} é",
            &[],
            "潮州 Hokkien é",
        ),
    ];
    for (name, text, parameters, expected) in cases {
        let (configuration, template) = template(&[text]);
        let prompt = prompt::render(&configuration, &template, &account(), parameters, "")
            .unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(&*prompt.levels[0].text, expected, "{name}");
    }
}

#[test]
fn a_missing_parameter_is_named() {
    let (configuration, template) = template(&["{town}"]);
    let error =
        prompt::render(&configuration, &template, &account(), &[], "").expect_err("an error");
    assert_eq!(error.kind, ErrorKind::BadRequest);
    assert!(error.detail.contains("\"town\""), "{error}");
}

#[test]
fn a_missing_level_text_rejects_the_request() {
    let (mut configuration, template) = template(&["Glossary."]);
    configuration.texts.clear();
    let error =
        prompt::render(&configuration, &template, &account(), &[], "").expect_err("an error");
    assert_eq!(error.kind, ErrorKind::NotConfigured);
}
