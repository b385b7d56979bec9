//! Parsing of console commands, and formatting of tables.

use super::command::Command;
use super::table;
use std::time::Duration;

#[test]
fn known_commands_are_parsed_and_others_are_rejected() {
    let parse = |text: &str| text.parse::<Command>().ok();
    assert_eq!(parse("  kept\n"), Some(Command::Line { name: "kept" }));
    assert_eq!(
        parse("watch 5"),
        Some(Command::Watch {
            interval: Duration::from_secs(5)
        })
    );
    assert_eq!(parse(""), Some(Command::Empty));
    for invalid in ["watch 0", "watch x", "kept twice", "shutdown"] {
        assert_eq!(parse(invalid), None, "{invalid}");
    }
}

#[test]
fn the_columns_of_a_table_are_aligned() {
    let rows = [
        vec!["a".to_owned(), "bb".to_owned()],
        vec!["ccc".to_owned(), "d".to_owned()],
    ];
    assert_eq!(table::format(&rows), "a    bb\nccc  d\n");
}
