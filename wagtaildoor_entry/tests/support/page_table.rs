//! Reads tables from the pages of the documentation.

use std::fs;

/// Cells of a table row, without backticks.
pub type TableRow = Vec<String>;

/// Returns the rows of the table below a heading of a page in `docs/`, without the table's header.
pub fn table_after(page: &str, heading: &str) -> Vec<TableRow> {
    let path = format!("{}/../docs/{page}", env!("CARGO_MANIFEST_DIR"));
    let text = fs::read_to_string(&path).expect("the page");
    let lines = text.lines().skip_while(|line| *line != heading);
    let table = lines
        .skip_while(|line| !line.starts_with('|'))
        .take_while(|line| line.starts_with('|'));
    table.skip(2).map(cells).collect()
}

/// Splits a line into trimmed cells.
fn cells(line: &str) -> TableRow {
    let inner = line.trim_matches('|');
    let cell = |cell: &str| cell.replace('`', "").trim().to_owned();
    inner.split('|').map(cell).collect()
}

/// Returns name, type and labels of each metric in the Prometheus text format, as table rows.
pub fn metric_rows(text: &str) -> Vec<TableRow> {
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let named = types.filter_map(|line| line.split_once(' '));
    let ours = named.filter(|(name, _)| *name != "target_info");
    ours.map(|(name, kind)| vec![name.to_owned(), kind.to_owned(), labels(text, name)])
        .collect()
}

/// Returns the labels of a metric, without those that the exporter adds.
fn labels(text: &str, name: &str) -> String {
    let sample = text.lines().find(|line| line.starts_with(name));
    let inner = sample.and_then(|line| line.split_once('{'));
    let inner = inner.and_then(|(_, rest)| rest.split_once('}'));
    let pairs = inner.map_or("", |(pairs, _)| pairs).split(',');
    let names = pairs.filter_map(|pair| pair.split_once('='));
    let own = names.map(|(label, _)| label);
    let own: Vec<&str> = own
        .filter(|label| !["otel_scope_name", "le"].contains(label))
        .collect();
    own.join(", ")
}
