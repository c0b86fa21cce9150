//! The operator's commands, run against the programs as processes.

use crate::processes::Processes;

#[tokio::test(flavor = "multi_thread")]
async fn check_diff_apply_status_and_audit_succeed_in_turn() {
    let processes = Processes::spawn().await;
    processes.ready().await;
    let run = |arguments: &[&str]| processes.cinderspoke(arguments);
    assert_eq!(run(&["check", "."]), (Some(0), "1 files, no findings\n".into()));
    let (code, text) = run(&["diff", "."]);
    assert_eq!(code, Some(0));
    assert_eq!(text, include_str!("commands/diff_first.txt"));
    let (code, _) = run(&["apply", ".", "--base", "0", "--author", "me", "--wait", "120"]);
    assert_eq!(code, Some(0));
    let (code, text) =
        run(&["apply", ".", "--base", "0", "--author", "me", "--operation", "again"]);
    assert_eq!(code, Some(4), "{text}");
    assert!(text.starts_with("refused: generation 1 is in force"), "{text}");
    let (code, text) = run(&["status"]);
    assert_eq!(code, Some(0));
    // The number of plans written depends on the order in which instances report.
    let (services, zones) = text.split_once("\n\nzone").unwrap();
    assert_eq!(services, include_str!("commands/status.txt").trim_end());
    assert!(zones.contains("north") && zones.contains("south"), "{text}");
    let (code, text) = run(&["audit", "--json"]);
    assert_eq!(code, Some(0));
    let report: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(report["records"][0]["outcome"], "conflict");
    assert_eq!(report["records"][1]["author"], "me");
    assert_eq!(report["records"][1]["generation"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_files_have_their_own_exit_code_and_are_not_applied() {
    let processes = Processes::spawn().await;
    processes.ready().await;
    let text = std::fs::read_to_string(processes.directory.path().join("small.toml")).unwrap();
    std::fs::write(processes.directory.path().join("small.toml"), text.replace("region", "reg1on"))
        .unwrap();
    for command in
        [&["check", "."][..], &["diff", "."], &["apply", ".", "--base", "0", "--author", "me"]]
    {
        let (code, text) = processes.cinderspoke(command);
        assert_eq!(code, Some(3), "{text}");
        assert!(text.starts_with("small.toml:1:1: key `region` is missing"), "{text}");
        assert!(text.ends_with("4 findings\n"), "{text}");
    }
    let (_, text) = processes.cinderspoke(&["audit", "--json"]);
    assert_eq!(text, "{\"records\":[]}\n");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unreachable_entry_instance_is_reported() {
    let processes = Processes::spawn().await;
    let (code, text) = processes.cinderspoke(&["status", "--admin", "127.0.0.1:1"]);
    assert_eq!(code, Some(1));
    assert!(text.starts_with("error: 127.0.0.1:1 could not be reached"), "{text}");
}

#[test]
fn completions_name_the_commands() {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_cinderspoke"))
        .args(["completions", "bash"])
        .output()
        .unwrap();
    let script = String::from_utf8(output.stdout).unwrap();
    for command in ["apply", "audit", "check", "completions", "diff", "status"] {
        assert!(script.contains(command), "{command} is missing");
    }
}
