//! Valid settings of each role, and functions that modify them.

// Each test crate compiles this module and uses only a part of it.
#![allow(dead_code)]

/// Settings of a control replica without optional keys.
pub const CONTROL: &str = "\
role: control
node: control-1
data_centre: putrajaya
replica_id: 1
listen_address: 10.1.0.1:7401
worker_address: 10.1.0.1:7402
data_folder: /var/lib/yuccatack
initial_replicas:
  - {replica_id: 1, address: 10.1.0.1:7401}
  - {replica_id: 2, address: 10.2.0.1:7401}
  - {replica_id: 3, address: 10.3.0.1:7401}
";

/// Settings of an entry without optional keys.
pub const ENTRY: &str = "\
role: entry
node: entry-1
data_centre: putrajaya
listen_address: 10.1.0.2:7400
control_addresses: [10.1.0.1:7401, 10.2.0.1:7401]
";

/// Settings of an agent without optional keys.
pub const AGENT: &str = "\
role: agent
node: agent-1
data_centre: putrajaya
service: rankings
minion: minion-1
minion_address: 10.1.0.3:8080
listen_address: 10.1.0.3:7403
control_addresses: [10.1.0.1:7401, 10.2.0.1:7401]
";

/// Replaces the value of a top-level key that occupies one line, or adds the key.
pub fn set(settings: &str, key: &str, value: &str) -> String {
    let prefix = format!("{key}:");
    let mut lines: Vec<String> = settings.lines().map(ToOwned::to_owned).collect();
    let line = format!("{key}: {value}");
    match lines.iter().position(|line| line.starts_with(&prefix)) {
        Some(index) => lines[index] = line,
        None => lines.push(line),
    }
    lines.join("\n")
}

/// Removes a top-level key together with its indented lines.
pub fn remove(settings: &str, key: &str) -> String {
    let prefix = format!("{key}:");
    let mut inside = false;
    let mut kept = Vec::new();
    for line in settings.lines() {
        inside = line.starts_with(&prefix) || (inside && line.starts_with(' '));
        if !inside {
            kept.push(line);
        }
    }
    kept.join("\n")
}

/// Replaces the value of a top-level key with a list, written one element per line.
pub fn set_list(settings: &str, key: &str, elements: &[&str]) -> String {
    let mut lines = format!("{}\n{key}:\n", remove(settings, key));
    for element in elements {
        lines.push_str(&format!("  - {element}\n"));
    }
    lines
}
