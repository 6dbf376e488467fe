//! Tables and plots of the policy comparison.

use std::fmt::Write;

use super::{
    deployment::{
        DESK,
        FAULTS,
        PUBLISHER, //
    },
    run_figures::RunFigures,
    PolicyKind,
    PolicyResult, //
};

/// Minimum hit rate, relative to the bound's.
const HIT_TARGET: f64 = 0.95;
/// Maximum recomputation waste, relative to the bound's.
const WASTE_TARGET: f64 = 1.15;
/// Maximum p99 of the time to the first token, relative to the bound's.
const TAIL_TARGET: f64 = 1.2;
/// Maximum p99 of the time to the first token, relative to round robin's.
const ROUND_ROBIN_TARGET: f64 = 0.5;

/// Width of a plot, in pixels.
const PLOT_WIDTH: usize = 960;
/// Height of the bar area, in pixels.
const PLOT_HEIGHT: usize = 220;
/// Space above the bar area, in pixels.
const PLOT_TOP: usize = 40;
/// Bar colors, in the order of `PolicyKind::ALL`.
const COLOURS: [&str; 5] = ["#b0b0b0", "#8fa8c8", "#d8b26e", "#2f7d4f", "#444444"];

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
    /// Title of the plot.
    title: &'static str,
    /// Returns the metric of a run.
    value: fn(&RunFigures) -> f64,
    /// Whether bar heights are logarithmic.
    logarithmic: bool,
}

/// All plotted metrics.
const COLUMNS: [PlotColumn; 3] = [
    PlotColumn {
        name: "hit-rate",
        title: "prefix hit rate, %",
        value: |figures| figures.hit_rate() * 100.0,
        logarithmic: false,
    },
    PlotColumn {
        name: "waste",
        title: "wasted recomputation, % of prompt tokens",
        value: |figures| figures.waste_rate() * 100.0,
        logarithmic: false,
    },
    PlotColumn {
        name: "first-token-p99",
        title: "first token p99, ms, logarithmic from 10",
        value: |figures| figures.first_token_ms(0.99),
        logarithmic: true,
    },
];

/// Renders the Markdown report with all tables.
pub fn page(results: &[PolicyResult], seed: u64) -> String {
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
                table(&mut page, &runs);
            }
        }
    }
    targets(&mut page, results);
    page
}

/// Renders one plot for each deployment and metric.
pub fn plots(results: &[PolicyResult]) -> Vec<PlotFile> {
    let mut plots = Vec::new();
    for shape in [PUBLISHER, DESK] {
        for column in &COLUMNS {
            let short = shape.name.split(' ').next_back().unwrap_or(shape.name);
            plots.push(PlotFile {
                file: format!("policy-{short}-{}.svg", column.name).into(),
                svg: plot(results, shape.name, column),
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
fn table(page: &mut String, runs: &[&PolicyResult]) {
    page.push_str(
        "| policy | hit rate | wasted | first token p50 | p95 | p99 | refused | worst account's p95 |\n\
         |---|---|---|---|---|---|---|---|\n",
    );
    for run in runs {
        let figures = &run.figures;
        let all = figures.answered() + figures.refused;
        let _ = writeln!(
            page,
            "| {} | {:.1}% | {:.2}% | {:.0} ms | {:.0} ms | {:.0} ms | {} of {} | x{:.2} |",
            run.policy.name(),
            figures.hit_rate() * 100.0,
            figures.waste_rate() * 100.0,
            figures.first_token_ms(0.5),
            figures.first_token_ms(0.95),
            figures.first_token_ms(0.99),
            figures.refused,
            all,
            figures.unfairness(),
        );
    }
    page.push('\n');
}

/// Appends the table that compares the own policy with the targets.
fn targets(page: &mut String, results: &[PolicyResult]) {
    page.push_str(
        "## Targets\n\n\
         | shape | fault | hit rate of bound (>= 95%) | waste of bound (<= 1.15) | p99 of bound \
         (<= 1.20) | p99 of round robin (<= 0.50) |\n|---|---|---|---|---|---|\n",
    );
    for shape in [PUBLISHER, DESK] {
        for fault in FAULTS {
            let runs = runs_of(results, shape.name, fault.name);
            let of = |kind| runs.iter().find(|run| run.policy == kind);
            let (Some(own), Some(bound), Some(robin)) = (
                of(PolicyKind::Wagtaildoor),
                of(PolicyKind::Bound),
                of(PolicyKind::RoundRobin),
            ) else {
                continue;
            };
            let (own, bound, robin) = (&own.figures, &bound.figures, &robin.figures);
            let hit = own.hit_rate() / bound.hit_rate();
            let waste = own.waste_rate() / bound.waste_rate().max(1e-9);
            let tail = own.first_token_ms(0.99) / bound.first_token_ms(0.99);
            let against = own.first_token_ms(0.99) / robin.first_token_ms(0.99);
            let _ = writeln!(
                page,
                "| {} | {} | {:.1}%{} | {:.2}{}, {:+.2} points | {:.2}{} | {:.2}{} |",
                shape.name,
                fault.name,
                hit * 100.0,
                mark(hit >= HIT_TARGET),
                waste,
                mark(waste <= WASTE_TARGET),
                (own.waste_rate() - bound.waste_rate()) * 100.0,
                tail,
                mark(tail <= TAIL_TARGET),
                against,
                mark(against <= ROUND_ROBIN_TARGET),
            );
        }
    }
}

/// Returns the suffix of a value in the target table.
fn mark(met: bool) -> &'static str {
    match met {
        true => "",
        false => " missed",
    }
}

/// Renders one plot, with a group of bars for each fault plan.
fn plot(results: &[PolicyResult], shape: &str, column: &PlotColumn) -> String {
    let values = results.iter().filter(|result| result.shape.name == shape);
    let most = values
        .map(|result| height_of(column, &result.figures))
        .fold(1e-9, f64::max);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{PLOT_WIDTH}\" height=\"{}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"100%\" height=\"100%\" \
         fill=\"white\"/>\n<text x=\"8\" y=\"16\" font-size=\"13\">{shape}: {}</text>\n",
        PLOT_TOP + PLOT_HEIGHT + 40,
        column.title,
    );
    legend(&mut svg);
    let group = PLOT_WIDTH / FAULTS.len();
    for (place, fault) in FAULTS.iter().enumerate() {
        let left = place * group + 6;
        for (bar, run) in runs_of(results, shape, fault.name).iter().enumerate() {
            let width = (group - 14) / PolicyKind::ALL.len();
            let height = height_of(column, &run.figures) / most * PLOT_HEIGHT as f64;
            let _ = writeln!(
                svg,
                "<rect x=\"{}\" y=\"{:.1}\" width=\"{}\" height=\"{height:.1}\" fill=\"{}\">\
                 <title>{}: {:.2}</title></rect>",
                left + bar * width,
                (PLOT_TOP + PLOT_HEIGHT) as f64 - height,
                width - 1,
                COLOURS[bar],
                run.policy.name(),
                (column.value)(&run.figures),
            );
        }
        for (line, words) in fault.name.split(" + ").enumerate() {
            let y = PLOT_TOP + PLOT_HEIGHT + 14 + line * 13;
            let _ = writeln!(
                svg,
                "<text x=\"{left}\" y=\"{y}\" font-size=\"9\">{words}</text>"
            );
        }
    }
    svg.push_str("</svg>\n");
    svg
}

/// Unscaled height of a bar; logarithmic values start at 10.
fn height_of(column: &PlotColumn, figures: &RunFigures) -> f64 {
    let value = (column.value)(figures);
    match column.logarithmic {
        true => (value / 10.0).max(1.0).log10(),
        false => value,
    }
}

/// Appends the names and colors of the policies.
fn legend(svg: &mut String) {
    for (place, policy) in PolicyKind::ALL.iter().enumerate() {
        let x = 380 + place * 115;
        let _ = writeln!(
            svg,
            "<rect x=\"{x}\" y=\"7\" width=\"10\" height=\"10\" fill=\"{}\"/>\
             <text x=\"{}\" y=\"16\">{}</text>",
            COLOURS[place],
            x + 14,
            policy.name(),
        );
    }
}
