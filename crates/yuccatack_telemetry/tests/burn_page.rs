//! Guards against a page that loads external resources, and against plots that show wrong rates.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::sync::Arc;

use support::{fast_rankings, observe, organisation, seconds};
use yuccatack_lifecycle::{ShutdownPhase, shutdown_channel};
use yuccatack_telemetry::Metrics;
use yuccatack_telemetry::burn::{BurnReport, BurnReporter, BurnSampler, Counts, html_page};
use yuccatack_telemetry::metrics::RequestOutcome;

fn report() -> BurnReport {
    let metrics = Metrics::new();
    metrics.objectives.set_objectives(&[fast_rankings()], &[organisation("selangor")]);
    let mut sampler = BurnSampler::new(seconds(0));
    sampler.sample(&metrics.objectives.read(), seconds(0));
    observe(&metrics, "selangor", RequestOutcome::Completed, 20, 90);
    observe(&metrics, "selangor", RequestOutcome::Unknown, 20, 10);
    sampler.sample(&metrics.objectives.read(), seconds(15));
    sampler.report(seconds(15))
}

#[test]
fn page_is_self_contained() {
    let page = html_page(&report());
    for part in ["<script", "src=", "href=", "@import", "url("] {
        assert!(!page.contains(part), "the page loads an external resource: {part}");
    }
    assert!(page.contains("<h2>fast-rankings for selangor</h2>"), "{page}");
}

#[test]
fn plot_shows_rates() {
    let mut report = report();
    // 10% bad events: 0.1 / 0.01 = 10, half of the plot's maximum of 20, so half of its 96 pixels.
    let page = html_page(&report);
    assert!(page.contains(" 476.7,48.0\"/>"), "{page}");
    // Only bad events: a rate of 100 is drawn at the upper edge.
    report.series[0].plot[71] = Counts { good: 0, total: 5 };
    let page = html_page(&report);
    assert!(page.contains(" 476.7,0.0\"/>"), "{page}");
}

#[test]
fn texts_are_escaped() {
    let mut report = report();
    report.series[0].indicator = "<b>&\"".to_owned();
    let page = html_page(&report);
    assert!(page.contains("&lt;b&gt;&amp;&quot;"), "{page}");
}

#[test]
fn json_reads_back() {
    let report = report();
    let text = serde_json::to_string(&report).unwrap();
    assert_eq!(serde_json::from_str::<BurnReport>(&text).unwrap(), report);
}

#[tokio::test(start_paused = true)]
async fn reporter_publishes() {
    let metrics = Metrics::new();
    metrics.objectives.set_objectives(&[fast_rankings()], &[organisation("selangor")]);
    let (reporter, mut reports) = BurnReporter::new(metrics.objectives.clone());
    let (trigger, shutdown) = shutdown_channel();
    let task = tokio::spawn(reporter.run(shutdown));
    reports.changed().await.unwrap();
    observe(&metrics, "selangor", RequestOutcome::Completed, 20, 4);
    reports.changed().await.unwrap();
    let report = Arc::clone(&reports.borrow());
    assert_eq!(report.series[0].windows[0].counts, Counts { good: 4, total: 4 });
    trigger.advance(ShutdownPhase::Aborting);
    task.await.unwrap();
}
