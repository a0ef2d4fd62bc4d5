//! Burn report as a self-contained HTML page without scripts.

use std::fmt::Write;

use super::{Alert, BurnReport, Counts, SeriesReport};

const PLOT_WIDTH_PX: f64 = 480.0;
const PLOT_HEIGHT_PX: f64 = 96.0;

/// Burn rate at the upper edge of a plot, above the paging rate of 14.4; higher rates are drawn at
/// the edge.
const PLOT_RATE_LIMIT: f64 = 20.0;

/// Burn rates that a line marks, with its colour: the budget, a ticket and a page.
const MARKED_RATES: [(f64, &str); 3] = [(1.0, "#888"), (6.0, "#c80"), (14.4, "#c00")];

const HEAD: &str = "<!DOCTYPE html>
<html lang=\"en\">
<head>
<meta charset=\"utf-8\">
<title>Burn report</title>
<style>
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; }
td, th { padding: 0.2em 0.8em; text-align: right; }
th { border-bottom: 1px solid #888; }
.page { color: #c00; font-weight: bold; }
.ticket { color: #c80; font-weight: bold; }
</style>
</head>
<body>
<h1>Burn report</h1>
";

/// Renders `report` as an HTML page.
pub fn html_page(report: &BurnReport) -> String {
    let mut page = String::from(HEAD);
    let _ = writeln!(
        page,
        "<p>Counted for {} s. A burn rate of 1 uses the error budget exactly; lines in the plots \
         mark 1, 6 (ticket) and 14.4 (page).</p>",
        report.observed_s
    );
    for series in &report.series {
        append_series(&mut page, series);
    }
    page.push_str("</body>\n</html>\n");
    page
}

// Writing to a string cannot fail, so the results are ignored here and below.
fn append_series(page: &mut String, series: &SeriesReport) {
    let organisation = match &series.organisation {
        Some(organisation) => format!(" for {}", escape(organisation.as_str())),
        None => String::new(),
    };
    let (class, alert) = match series.alert {
        Alert::None => ("none", "no alert"),
        Alert::Ticket => ("ticket", "ticket"),
        Alert::Page => ("page", "page"),
    };
    let _ = writeln!(page, "<h2>{}{organisation}</h2>", escape(series.objective.as_str()));
    let _ = writeln!(
        page,
        "<p>{}: {} within {} ms promised. <span class=\"{class}\">{alert}</span></p>",
        escape(&series.indicator),
        series.target_ratio,
        series.threshold_ms
    );
    page.push_str("<table>\n<tr><th>window</th><th>good</th><th>total</th><th>burn</th></tr>\n");
    for window in &series.windows {
        let _ = writeln!(
            page,
            "<tr><td>{} min</td><td>{}</td><td>{}</td><td>{:.2}</td></tr>",
            window.window_s / 60,
            window.counts.good,
            window.counts.total,
            window.burn_rate
        );
    }
    page.push_str("</table>\n");
    append_plot(page, &series.plot, series.target_ratio);
}

fn append_plot(page: &mut String, plot: &[Counts], target_ratio: f64) {
    let _ = writeln!(
        page,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{PLOT_WIDTH_PX}\" \
         height=\"{PLOT_HEIGHT_PX}\" role=\"img\"><title>Burn rate of the last six hours in \
         slots of five minutes</title>"
    );
    for (rate, colour) in MARKED_RATES {
        let y = y_position(rate);
        let _ = writeln!(
            page,
            "<line x1=\"0\" y1=\"{y:.1}\" x2=\"{PLOT_WIDTH_PX}\" y2=\"{y:.1}\" stroke=\"{colour}\" \
             stroke-dasharray=\"4 4\"/>"
        );
    }
    let step = PLOT_WIDTH_PX / plot.len().max(1) as f64;
    let point = |(index, counts): (usize, &Counts)| {
        let x = (index as f64 + 0.5) * step;
        format!("{x:.1},{:.1}", y_position(counts.burn_rate(target_ratio)))
    };
    let points: Vec<String> = plot.iter().enumerate().map(point).collect();
    let _ = writeln!(
        page,
        "<polyline fill=\"none\" stroke=\"#036\" stroke-width=\"1.5\" points=\"{}\"/>\n</svg>",
        points.join(" ")
    );
}

fn y_position(rate: f64) -> f64 {
    PLOT_HEIGHT_PX * (1.0 - rate.min(PLOT_RATE_LIMIT) / PLOT_RATE_LIMIT)
}

fn escape(text: &str) -> String {
    let text = text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;");
    text.replace('"', "&quot;")
}
