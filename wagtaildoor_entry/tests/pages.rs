//! Compares the tables of errors and metrics in the documentation with the entry.

#[path = "support/page_table.rs"]
mod page_table;

use std::time::Duration;

use page_table::TableRow;
use wagtaildoor::error::ErrorKind;
use wagtaildoor_entry::metrics::EntryMetrics;

#[test]
fn the_page_lists_every_refusal_as_it_is() {
    let row = |kind: ErrorKind| {
        let answer = kind.answer();
        let retry = answer.retry_after;
        let retry = retry.map_or("never".to_owned(), |time| format!("{} s", time.as_secs()));
        vec![
            kind.to_string(),
            answer.status.to_string(),
            answer.outcome.to_string(),
            retry,
        ]
    };
    let expected: Vec<TableRow> = ErrorKind::ALL.into_iter().map(row).collect();
    let mut listed = page_table::table_after("CALLERS.md", "## Refusals");
    for row in &mut listed {
        let when = row.pop().expect("a last cell");
        assert!(when.len() > 10, "{row:?}: {when}");
    }
    assert_eq!(listed, expected);
}

#[test]
fn the_page_lists_every_metric_as_it_is() {
    let metrics = EntryMetrics::new().expect("metrics");
    metrics.record_request();
    metrics.record_end(Duration::from_secs(1));
    metrics.record_refusal(ErrorKind::Internal);
    metrics.record_retry();
    metrics.record_crossed_chunk();
    metrics.record_first_token(Duration::from_secs(1));
    metrics.record_prompt_tokens(1, 1);
    let text = metrics.render();
    assert!(
        text.contains("service_name=\"wagtaildoor-entry\""),
        "{text}"
    );
    let mut listed = page_table::table_after("METRICS.md", "## wagtaildoor-entry");
    for row in &mut listed {
        let described = row.drain(3..).all(|cell| !cell.is_empty());
        assert!(described, "{row:?} has no unit or meaning");
    }
    assert_eq!(listed, page_table::metric_rows(&text));
}
