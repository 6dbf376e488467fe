//! Compares the documented metrics with those that the keeper exports.

#[path = "../../wagtaildoor_entry/tests/support/page_table.rs"]
mod page_table;

use wagtaildoor::schema::ClaimVerdict;
use wagtaildoor_keeper::metrics::{
    KeeperMetrics,
    MetricReadings, //
};

#[test]
fn the_page_lists_every_metric_as_it_is() {
    let metrics = KeeperMetrics::new().expect("metrics");
    metrics.record_claim(&ClaimVerdict::Won(1));
    let text = metrics.encode_text(MetricReadings {
        config_sequence: 1,
        platform_age_ms: 1,
        endpoints: 1,
    });
    assert!(
        text.contains("service_name=\"wagtaildoor-keeper\""),
        "{text}"
    );
    let mut listed = page_table::table_after("METRICS.md", "## wagtaildoor-keeper");
    for row in &mut listed {
        let described = row.drain(3..).all(|cell| !cell.is_empty());
        assert!(described, "{row:?} has no unit or meaning");
    }
    assert_eq!(listed, page_table::metric_rows(&text));
}
