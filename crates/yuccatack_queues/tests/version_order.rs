//! Guards against a configuration that reverts to an older version, and against access by callers
//! without a valid key.

#![allow(clippy::unwrap_used, missing_docs)]

use std::sync::Arc;

use yuccatack_core::{DurationMs, OrganisationName, QueueName, ServiceName};
use yuccatack_queues::{
    Acceptance, AccessError, AccessKey, CallerLimits, Configuration, ConfigurationError,
    ConfigurationStore, ConfigurationVersion, Organisation, Queue, Service,
};

fn queue(name: &str, prefix: &str) -> Queue {
    Queue {
        name: QueueName::new(name).unwrap(),
        host: Arc::from("h.example"),
        path_prefix: Arc::from(prefix),
        service: ServiceName::new("pool").unwrap(),
        priority: 0,
        max_attempts: 2,
        stretch: 1.5,
        allowance_ms: DurationMs::new(250),
        call_timeout_ms: DurationMs::new(3000),
        public: false,
    }
}

fn organisation(name: &str, key: &str) -> Organisation {
    Organisation {
        name: OrganisationName::new(name).unwrap(),
        keys: vec![AccessKey::new(key)],
        guaranteed_accelerator_count: 4,
    }
}

fn configuration(version: u64) -> Configuration {
    Configuration {
        version: ConfigurationVersion::new(version),
        queues: vec![queue("q", "/a/"), queue("longer", "/a/b/")],
        services: vec![Service {
            name: ServiceName::new("pool").unwrap(),
            admission_control: true,
        }],
        limits: CallerLimits::default(),
        organisations: vec![organisation("one", "k1"), organisation("two", "k2")],
        document: Arc::from(format!("document {version}")),
    }
}

#[test]
fn highest_version_wins() {
    let mut store = ConfigurationStore::default();
    assert_eq!(store.accept(Arc::new(configuration(7))), Acceptance::InForce);
    let superseded = Acceptance::Superseded { by: ConfigurationVersion::new(7) };
    assert_eq!(store.accept(Arc::new(configuration(5))), superseded);
    let other = Configuration { document: Arc::from("other"), ..configuration(7) };
    assert_eq!(store.accept(Arc::new(other)), superseded);
    assert_eq!(&*store.current().unwrap().document, "document 7");
}

#[test]
fn access_checked() {
    let mut store = ConfigurationStore::default();
    let known = AccessKey::new("k1");
    assert_eq!(store.authorise("h.example", "/a/x", Some(&known)), Err(AccessError::NotConfigured));
    store.accept(Arc::new(configuration(1)));
    let access = store.authorise("h.example", "/a/b/x", Some(&known)).unwrap();
    assert_eq!((access.queue.name.as_str(), access.remainder), ("longer", "x"));
    assert_eq!(access.organisation.unwrap().as_str(), "one");
    let unknown = AccessKey::new("k9");
    assert_eq!(store.authorise("h.example", "/a/x", Some(&unknown)), Err(AccessError::UnknownKey));
    assert_eq!(store.authorise("h.example", "/c/x", Some(&known)), Err(AccessError::NoSuchQueue));
    assert_eq!(store.authorise("i.example", "/a/x", Some(&known)), Err(AccessError::NoSuchQueue));
}

#[test]
fn invalid_refused() {
    let valid = configuration(1);
    assert_eq!(valid.validate(), Ok(()));
    let no_services = Configuration { services: Vec::new(), ..valid.clone() };
    assert!(matches!(no_services.validate(), Err(ConfigurationError::UnknownService { .. })));
    let duplicate_route =
        Configuration { queues: vec![queue("q", "/a/"), queue("r", "/a/")], ..valid.clone() };
    assert!(matches!(duplicate_route.validate(), Err(ConfigurationError::DuplicateRoute { .. })));
    let mut zero_timeout = valid.clone();
    zero_timeout.queues[0].call_timeout_ms = DurationMs::ZERO;
    assert!(matches!(zero_timeout.validate(), Err(ConfigurationError::ZeroTimeout { .. })));
    let shared = vec![organisation("one", "k"), organisation("two", "k")];
    let shared_key = Configuration { organisations: shared, ..valid };
    assert!(matches!(shared_key.validate(), Err(ConfigurationError::SharedKey { .. })));
}
