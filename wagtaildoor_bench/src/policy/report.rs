//! Tables and plots of the policy comparison.

use std::fmt::Write;

use super::{
    deployment::{
        DESK,
        FAULTS,
        PUBLISHER, //
    },
    run_metrics::RunMetrics,
    PolicyKind,
    PolicyResult, //
};

/// Minimum hit rate, relative to the bound's; a target for the publisher deployment.
const HIT_RATE_TARGET: f64 = 0.95;
/// Maximum recomputation waste, relative to the bound's; a target for the publisher deployment.
const WASTE_TARGET: f64 = 1.15;
/// Maximum p99 time to first token, relative to the bound's; a target for the desk deployment.
const P99_TARGET: f64 = 1.2;
/// Maximum p99 time to first token, relative to round robin's; for the desk deployment.
const ROUND_ROBIN_P99_TARGET: f64 = 0.5;

/// Width of a plot, in pixels.
const PLOT_WIDTH: usize = 960;
/// Height of the bar area, in pixels.
const PLOT_HEIGHT: usize = 220;
/// Space above the bar area, in pixels.
const PLOT_TOP: usize = 40;
/// Bar colors, in the order of `PolicyKind::ALL`.
const COLORS: [&str; 5] = ["#b0b0b0", "#8fa8c8", "#d8b26e", "#2f7d4f", "#444444"];

/// SVG plot with its file name.
#[derive(Clone, Debug)]
pub struct PlotFile {
    /// File name, without a directory.
    pub file: Box<str>,
    /// SVG source.
    pub svg: String,
}

/// Metric that is plotted.
struct PlotColumn {
    /// Part of the file name.
    name: &'static str,
    title: &'static str,
    /// Extracts the plotted value.
    value: fn(&RunMetrics) -> f64,
    /// Whether bar heights are logarithmic.
    is_logarithmic: bool,
}

/// All plotted metrics.
const COLUMNS: [PlotColumn; 3] = [
    PlotColumn {
        name: "hit-rate",
        title: "prefix hit rate, %",
        value: |metrics| metrics.hit_rate() * 100.0,
        is_logarithmic: false,
    },
    PlotColumn {
        name: "waste",
        title: "wasted recomputation, % of prompt tokens",
        value: |metrics| metrics.waste_rate() * 100.0,
        is_logarithmic: false,
    },
    PlotColumn {
        name: "first-token-p99",
        title: "first token p99, ms, logarithmic from 10",
        value: |metrics| metrics.first_token_ms(0.99),
        is_logarithmic: true,
    },
];

/// Renders the Markdown report with all tables.
pub fn render_page(results: &[PolicyResult], seed: u64) -> String {
    let mut page = String::from("# Placement policies compared\n\n");
    let _ = writeln!(
        page,
        "Made by `cargo run --release -p wagtaildoor_bench --bin wtd-bench -- policy --seed {seed} \
         --out docs/measurements`.\n"
    );
    for shape in [PUBLISHER, DESK] {
        let _ = writeln!(page, "## {}\n", shape.name);
        for fault in FAULTS {
            let runs = runs_of(results, shape.name, fault.name);
            if !runs.is_empty() {
                let _ = writeln!(page, "### {}, {}\n", shape.name, fault.name);
                append_table(&mut page, &runs);
            }
        }
    }
    append_targets(&mut page, results);
    page
}

/// Renders one plot for each deployment and metric.
pub fn render_plots(results: &[PolicyResult]) -> Vec<PlotFile> {
    let mut plots = Vec::new();
    for shape in [PUBLISHER, DESK] {
        for column in &COLUMNS {
            let short_name = shape.name.split(' ').next_back().unwrap_or(shape.name);
            plots.push(PlotFile {
                file: format!("policy-{short_name}-{}.svg", column.name).into(),
                svg: render_plot(results, shape.name, column),
            });
        }
    }
    plots
}

/// Selects the runs of a deployment under one fault plan, in policy order.
fn runs_of<'a>(results: &'a [PolicyResult], shape: &str, fault: &str) -> Vec<&'a PolicyResult> {
    let runs = results.iter();
    runs.filter(|result| result.shape.name == shape && result.fault.name == fault)
        .collect()
}

/// Appends the table of one deployment and fault plan.
fn append_table(page: &mut String, runs: &[&PolicyResult]) {
    page.push_str(
        "| policy | hit rate | wasted | first token p50 | p95 | p99 | refused | worst account's p95 |\n\
         |---|---|---|---|---|---|---|---|\n",
    );
    for run in runs {
        let metrics = &run.metrics;
        let all = metrics.answered() + metrics.refused;
        let _ = writeln!(
            page,
            "| {} | {:.1}% | {:.2}% | {:.0} ms | {:.0} ms | {:.0} ms | {} of {} | x{:.2} |",
            run.policy.name(),
            metrics.hit_rate() * 100.0,
            metrics.waste_rate() * 100.0,
            metrics.first_token_ms(0.5),
            metrics.first_token_ms(0.95),
            metrics.first_token_ms(0.99),
            metrics.refused,
            all,
            metrics.unfairness(),
        );
    }
    page.push('\n');
}

/// Appends the table that compares the own policy with the targets.
fn append_targets(page: &mut String, results: &[PolicyResult]) {
    page.push_str(
        "## Targets\n\n\
         | shape | fault | hit rate of bound (>= 95%) | waste of bound (<= 1.15) | p99 of bound \
         (<= 1.20) | p99 of round robin (<= 0.50) |\n|---|---|---|---|---|---|\n",
    );
    for shape in [PUBLISHER, DESK] {
        for fault in FAULTS {
            let runs = runs_of(results, shape.name, fault.name);
            let find_run = |kind| runs.iter().find(|run| run.policy == kind);
            let (Some(own), Some(bound), Some(round_robin)) = (
                find_run(PolicyKind::Wagtaildoor),
                find_run(PolicyKind::Bound),
                find_run(PolicyKind::RoundRobin),
            ) else {
                continue;
            };
            let (own, bound, round_robin) = (&own.metrics, &bound.metrics, &round_robin.metrics);
            let hit_ratio = own.hit_rate() / bound.hit_rate();
            let waste_ratio = own.waste_rate() / bound.waste_rate().max(1e-9);
            let p99_ratio = own.first_token_ms(0.99) / bound.first_token_ms(0.99);
            let round_robin_ratio = own.first_token_ms(0.99) / round_robin.first_token_ms(0.99);
            let _ = writeln!(
                page,
                "| {} | {} | {:.1}%{} | {:.2}{}, {:+.2} points | {:.2}{} | {:.2}{} |",
                shape.name,
                fault.name,
                hit_ratio * 100.0,
                missed_suffix(hit_ratio >= HIT_RATE_TARGET),
                waste_ratio,
                missed_suffix(waste_ratio <= WASTE_TARGET),
                (own.waste_rate() - bound.waste_rate()) * 100.0,
                p99_ratio,
                missed_suffix(p99_ratio <= P99_TARGET),
                round_robin_ratio,
                missed_suffix(round_robin_ratio <= ROUND_ROBIN_P99_TARGET),
            );
        }
    }
}

/// Returns the suffix of a value in the target table.
fn missed_suffix(is_met: bool) -> &'static str {
    match is_met {
        true => "",
        false => " missed",
    }
}

/// Renders one plot, with a group of bars for each fault plan.
fn render_plot(results: &[PolicyResult], shape: &str, column: &PlotColumn) -> String {
    let values = results.iter().filter(|result| result.shape.name == shape);
    let max_height = values
        .map(|result| unscaled_height(column, &result.metrics))
        .fold(1e-9, f64::max);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{PLOT_WIDTH}\" height=\"{}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"100%\" height=\"100%\" \
         fill=\"white\"/>\n<text x=\"8\" y=\"16\" font-size=\"13\">{shape}: {}</text>\n",
        PLOT_TOP + PLOT_HEIGHT + 40,
        column.title,
    );
    append_legend(&mut svg);
    let group = PLOT_WIDTH / FAULTS.len();
    for (index, fault) in FAULTS.iter().enumerate() {
        let left = index * group + 6;
        for (bar, run) in runs_of(results, shape, fault.name).iter().enumerate() {
            let width = (group - 14) / PolicyKind::ALL.len();
            let height = unscaled_height(column, &run.metrics) / max_height * PLOT_HEIGHT as f64;
            let _ = writeln!(
                svg,
                "<rect x=\"{}\" y=\"{:.1}\" width=\"{}\" height=\"{height:.1}\" fill=\"{}\">\
                 <title>{}: {:.2}</title></rect>",
                left + bar * width,
                (PLOT_TOP + PLOT_HEIGHT) as f64 - height,
                width - 1,
                COLORS[bar],
                run.policy.name(),
                (column.value)(&run.metrics),
            );
        }
        for (line, label) in fault.name.split(" + ").enumerate() {
            let y = PLOT_TOP + PLOT_HEIGHT + 14 + line * 13;
            let _ = writeln!(
                svg,
                "<text x=\"{left}\" y=\"{y}\" font-size=\"9\">{label}</text>"
            );
        }
    }
    svg.push_str("</svg>\n");
    svg
}

/// Unscaled height of a bar; logarithmic values start at 10.
fn unscaled_height(column: &PlotColumn, metrics: &RunMetrics) -> f64 {
    let value = (column.value)(metrics);
    match column.is_logarithmic {
        true => (value / 10.0).max(1.0).log10(),
        false => value,
    }
}

/// Appends the names and colors of the policies.
fn append_legend(svg: &mut String) {
    for (index, policy) in PolicyKind::ALL.iter().enumerate() {
        let x = 380 + index * 115;
        let _ = writeln!(
            svg,
            "<rect x=\"{x}\" y=\"7\" width=\"10\" height=\"10\" fill=\"{}\"/>\
             <text x=\"{}\" y=\"16\">{}</text>",
            COLORS[index],
            x + 14,
            policy.name(),
        );
    }
}
