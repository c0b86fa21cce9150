//! Checks that the operators' page docs/OPERATIONS.md names only fields, messages and metrics
//! that the programs write.

use std::path::Path;

/// Returns all source files in a directory as one text.
fn sources(directory: &Path) -> String {
    let entries = std::fs::read_dir(directory).unwrap().map(|entry| entry.unwrap().path());
    let text = |path: std::path::PathBuf| match path.is_dir() {
        true => sources(&path),
        false => std::fs::read_to_string(&path).unwrap(),
    };
    entries.map(text).collect()
}

/// Returns the parts of a page between single backquotes.
fn quoted(page: &str) -> Vec<String> {
    let parts = page.split('`').skip(1).step_by(2);
    parts.map(|part| part.split_whitespace().collect::<Vec<_>>().join(" ")).collect()
}

#[test]
fn every_field_message_and_metric_of_the_page_is_in_the_sources() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(root.join("docs/OPERATIONS.md")).unwrap();
    // The names of the size classes in the request log.
    let size_classes =
        std::fs::read_to_string(root.join("crates/core/src/gateway/size.rs")).unwrap();
    let written = ["src", "platform/src", "crates/ports/src"].map(|part| sources(&root.join(part)));
    let written = written.concat() + &size_classes;
    let quoted = quoted(&page);
    assert!(quoted.len() > 60, "the page was read");
    for part in quoted {
        let name = part.split('{').next().unwrap_or_default();
        let name = name.trim_start_matches("\"message\":").trim_matches('"');
        assert!(written.contains(name), "the page names `{part}`, which nothing writes");
    }
}

#[test]
fn the_fields_and_messages_of_the_sample_lines_are_in_the_sources() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(root.join("docs/OPERATIONS.md")).unwrap();
    let written = sources(&root.join("src"));
    let samples: Vec<_> = page.lines().filter(|line| line.trim().starts_with('{')).collect();
    assert_eq!(samples.len(), 10);
    for sample in samples {
        let fields: serde_json::Map<String, serde_json::Value> =
            serde_json::from_str(sample).unwrap();
        for (field, value) in fields {
            let named = match field.as_str() {
                "message" => written.contains(value.as_str().unwrap()),
                _ => written.contains(&field),
            };
            assert!(named, "{field} of {sample}");
        }
    }
}
