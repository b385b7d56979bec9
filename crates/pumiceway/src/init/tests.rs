//! The questions of `init`.

use super::prompt::Prompt;
use super::{Init, InitError};
use pumiceway_site::Answers;
use std::path::PathBuf;

fn init() -> Init {
    Init {
        site: PathBuf::from("site.toml"),
        name: None,
        http: None,
        gearman: None,
        safe: vec![],
        once: vec![],
        yes: false,
    }
}

/// The answers to this input, and the output.
fn type_answers(mut input: &[u8]) -> (Result<Answers, InitError>, String) {
    let mut output = Vec::new();
    let answers = init().answers(&mut Prompt {
        is_interactive: true,
        input: &mut input,
        output: &mut output,
    });
    (answers, String::from_utf8(output).unwrap())
}

#[test]
fn questions_are_repeated_until_the_answer_can_be_used() {
    let input = "Inn \"1\"\nnowhere\n127.0.0.1:3100\nnone\n\nimports, bills\n";
    let (answers, output) = type_answers(input.as_bytes());
    let answers = answers.unwrap();
    assert_eq!((answers.http.port(), answers.gearman), (3100, None));
    let names: Vec<_> = answers
        .classes
        .iter()
        .map(|class| (class.name.as_str(), class.idempotent))
        .collect();
    assert_eq!(
        names,
        [("rate-push", true), ("imports", false), ("bills", false)]
    );
    let config = pumiceway_site::read(&pumiceway_site::template(&answers), "site.toml").unwrap();
    assert_eq!(config.name, "Inn \"1\"");
    assert!(output.contains("invalid socket address"));
    let (answers, _) = type_answers(b"Inn\n");
    assert!(
        answers
            .unwrap_err()
            .to_string()
            .contains("nothing was written")
    );
}
