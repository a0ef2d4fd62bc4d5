//! Guards against pairs of images that slow each other and stay unknown, and against pairs that are
//! taken for slow because of long tasks, tasks of different size, slow machines or other images.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::Simulation;

const SEEDS: std::ops::Range<u64> = 1..7;

fn none(_: &str, _: &str) -> f64 {
    1.0
}

fn heavy_slows_light(image: &str, other: &str) -> f64 {
    if (image, other) == ("light", "heavy") { 1.5 } else { 1.0 }
}

fn slight(image: &str, other: &str) -> f64 {
    if (image, other) == ("light", "heavy") { 1.05 } else { 1.0 }
}

fn both_slowed(image: &str, other: &str) -> f64 {
    match (image, other) {
        ("light", "heavy") => 1.5,
        ("heavy", "light") => 1.3,
        ("light", "light") => 1.4,
        _ => 1.0,
    }
}

fn names(simulation: &Simulation) -> Vec<(String, String)> {
    let pairs = simulation.model.pairs();
    pairs.iter().map(|pair| (pair.image.to_string(), pair.other.to_string())).collect()
}

#[test]
fn slow_pairs_found() {
    for seed in SEEDS {
        let mut simulation = Simulation::new(seed, 12, &["light", "heavy", "calm"], both_slowed);
        simulation.advance(240);
        let expected = [("heavy", "light"), ("light", "heavy"), ("light", "light")]
            .map(|(image, other)| (image.to_owned(), other.to_owned()));
        assert_eq!(names(&simulation), expected, "seed {seed}");
        let slowdown = simulation.model.slowdown("light", "heavy");
        assert!((1.4..1.6).contains(&slowdown), "seed {seed}: slowdown {slowdown}");
        assert_eq!(simulation.model.slowdown("heavy", "calm").to_bits(), 1.0_f64.to_bits());
        assert_eq!(simulation.model.known_pair_count(), 3);
        assert_eq!(simulation.model.take_newly_known().len(), 3, "a pair was reported repeatedly");
    }
}

#[test]
fn harmless_images_unknown() {
    for seed in SEEDS {
        let mut simulation = Simulation::new(seed, 12, &["a", "b", "c", "d", "e", "f"], none);
        simulation.speeds_known = seed.is_multiple_of(2);
        simulation.advance(600);
        assert!(names(&simulation).is_empty(), "seed {seed}: {:?}", simulation.model.pairs());
    }
}

#[test]
fn slight_slowdown_ignored() {
    for seed in SEEDS {
        let mut simulation = Simulation::new(seed, 12, &["light", "heavy", "calm"], slight);
        simulation.advance(600);
        assert!(names(&simulation).is_empty(), "seed {seed}: {:?}", simulation.model.pairs());
    }
}

/// The companion is beside light runs mostly when the harmful image is.
#[test]
fn companion_not_blamed() {
    for seed in SEEDS {
        let images = ["light", "heavy", "companion"];
        let mut simulation = Simulation::new(seed, 12, &images, heavy_slows_light);
        simulation.inseparable = Some(1);
        simulation.advance(240);
        assert_eq!(names(&simulation), [("light".into(), "heavy".into())], "seed {seed}");
    }
}

#[test]
fn ended_interference_forgotten() {
    let images = ["light", "heavy", "calm"];
    let mut simulation = Simulation::new(1, 12, &images, heavy_slows_light);
    simulation.advance(240);
    assert_eq!(simulation.model.known_pair_count(), 1);
    simulation.set_slowdown(none);
    simulation.advance(1_200);
    assert!(names(&simulation).is_empty(), "{:?}", simulation.model.pairs());
    assert_eq!(simulation.model.known_pair_count(), 0);
}
