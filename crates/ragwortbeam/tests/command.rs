//! Exit codes and error messages of the command line.

use std::io::Write;
use std::process::{Command, Output};

fn run_command(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ragwortbeam"))
        .args(arguments)
        .output()
        .unwrap()
}

fn write_file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("ragwortbeam-{}-{name}", std::process::id()));
    std::fs::File::create(&path)
        .unwrap()
        .write_all(text.as_bytes())
        .unwrap();
    path.display().to_string()
}

const SNAPSHOT: &str = r#"{"number": 1, "services": []}"#;

#[test]
fn exit_codes_and_messages_follow_the_cause() {
    struct Case {
        arguments: Vec<String>,
        code: i32,
        /// Text that the standard error has to contain.
        error: &'static str,
    }
    let snapshot = write_file("snapshot", SNAPSHOT);
    let cases = [
        Case {
            arguments: vec!["--version".to_owned()],
            code: 0,
            error: "",
        },
        Case {
            arguments: vec![],
            code: 2,
            error: "expected a command",
        },
        Case {
            arguments: vec!["check".to_owned()],
            code: 2,
            error: "expected --settings FILE",
        },
        Case {
            arguments: vec!["check".into(), "--settings".into(), "/nonexistent".into()],
            code: 1,
            error: "/nonexistent",
        },
        Case {
            arguments: vec![
                "check".into(),
                "--settings".into(),
                write_file("broken", "{}"),
            ],
            code: 2,
            error: "missing field `vm`",
        },
        Case {
            arguments: vec![
                "check".into(),
                "--release".into(),
                write_file("good", r#"{"number": 2}"#),
                "--after".into(),
                snapshot.clone(),
            ],
            code: 0,
            error: "",
        },
        Case {
            arguments: vec![
                "check".into(),
                "--release".into(),
                write_file("gap", r#"{"number": 3}"#),
                "--after".into(),
                snapshot,
            ],
            code: 2,
            error: "release 3: number: expected 2, found 3",
        },
        Case {
            arguments: vec!["status".into(), "127.0.0.1:1".into()],
            code: 1,
            error: "127.0.0.1:1",
        },
    ];
    for case in cases {
        let arguments: Vec<&str> = case.arguments.iter().map(String::as_str).collect();
        let output = run_command(&arguments);
        let error = String::from_utf8(output.stderr).unwrap();
        assert_eq!(
            output.status.code(),
            Some(case.code),
            "{arguments:?}: {error}"
        );
        assert!(error.contains(case.error), "{arguments:?}: {error}");
    }
}
