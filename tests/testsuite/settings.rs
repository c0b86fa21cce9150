//! The report on invalid settings of a program, compared exactly.

use std::process::Command;

const AGENT: &str = "instance = \"a b\"
zone = \"north\"
listen = \"here:80\"
admin = \"127.0.0.1:0\"
entries = []
weight_store = \"127.0.0.1:1\"
origin = \"127.0.0.1:2\"
uploads = 0

[endpoint]
kind = \"model\"
address = \"127.0.0.1:3\"
colour = \"red\"
";

#[test]
fn all_findings_in_invalid_settings_are_reported_with_their_exit_code() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("agent.toml");
    std::fs::write(&path, AGENT).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_cinderspoke-agent")).arg(&path).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    let shown = String::from_utf8(output.stderr).unwrap();
    let shown = shown.replace(&path.display().to_string(), "agent.toml");
    assert_eq!(shown.trim_end(), include_str!("settings/agent.txt").trim_end());
}
