//! The prompts of `init`: invalid answers, defaults, and input that ends early.

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

/// Runs the prompts with this input; returns the answers and the output.
fn run_prompts(mut input: &[u8]) -> (Result<Answers, InitError>, String) {
    let mut output = Vec::new();
    let answers = init().answers(&mut Prompt {
        is_interactive: true,
        input: &mut input,
        output: &mut output,
    });
    (answers, String::from_utf8(output).unwrap())
}

#[test]
fn a_question_is_repeated_until_its_answer_is_valid() {
    let input = "Inn \"1\"\nnowhere\n127.0.0.1:3100\nnone\n\nimports, bills\n";
    let (answers, output) = run_prompts(input.as_bytes());
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
    let (answers, _) = run_prompts(b"Inn\n");
    assert!(
        answers
            .unwrap_err()
            .to_string()
            .contains("nothing was written")
    );
}
