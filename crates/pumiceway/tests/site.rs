//! Tests of a new site: `init`, `check-config`, `serve --site`, and the first jobs.
#![cfg(feature = "appliance")]

use pumiceway_test_support::Peer;
use std::io::{BufRead, BufReader};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// A site in its own directory, which is removed on drop.
struct Site {
    directory: PathBuf,
    process: Option<Child>,
}

impl Site {
    fn new(name: &str) -> Site {
        let directory =
            std::env::temp_dir().join(format!("pumiceway-site-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        Site {
            directory,
            process: None,
        }
    }

    fn command(&self, arguments: &str) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pumiceway"));
        command
            .args(arguments.split(' '))
            .current_dir(&self.directory)
            .env_clear()
            .stdin(Stdio::null());
        command
    }

    /// Runs a command until it exits.
    fn run(&self, arguments: &str) -> CommandResult {
        let out = self.command(arguments).output().unwrap();
        let output = [out.stdout, out.stderr].concat();
        CommandResult {
            success: out.status.success(),
            output: String::from_utf8(output).unwrap(),
        }
    }

    /// Starts the dispatcher. Returns the address of the Gearman frontend.
    fn serve(&mut self) -> String {
        let mut child = self
            .command("serve --site site.toml --log-format json")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stderr.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        self.process = Some(child);
        let address = line
            .split("\"gearman\":\"")
            .nth(1)
            .unwrap_or_else(|| panic!("{line}"));
        address.split('"').next().unwrap().to_owned()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if let Some(mut child) = self.process.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// The result of a command, with its standard output followed by its standard error.
#[derive(Debug, PartialEq)]
struct CommandResult {
    success: bool,
    output: String,
}

#[test]
fn a_new_site_runs_the_first_job_of_each_class() {
    let mut site = Site::new("first");
    let init =
        site.run("init --yes --http 127.0.0.1:0 --gearman 127.0.0.1:0 --safe rates --once imports");
    assert!(
        init.success && init.output.contains("pumiceway serve --site site.toml"),
        "{init:?}"
    );
    let expected = CommandResult {
        success: true,
        output: "pumiceway: good\n".to_owned(),
    };
    assert_eq!(site.run("check-config --site site.toml"), expected);
    let address = site.serve();
    let mut worker = Peer::new(TcpStream::connect(&address).unwrap());
    worker.send("[CAN_DO rates]");
    worker.send("[CAN_DO imports]");
    worker.send("[GRAB_JOB]");
    for class in ["rates", "imports", "imports"] {
        let mut client = Peer::new(TcpStream::connect(&address).unwrap());
        client.send(&format!("[SUBMIT_JOB {class}||first]"));
        client.expect("[JOB_CREATED *]").unwrap();
        let handle = loop {
            match worker.read_packet().unwrap() {
                (name, _) if name == "NO_JOB" => worker.send("[PRE_SLEEP]"),
                (name, _) if name == "NOOP" => worker.send("[GRAB_JOB]"),
                (_, parts) => break parts[0].clone(),
            }
        };
        worker.send(&format!("[WORK_COMPLETE {handle}|done]"));
        worker.send("[GRAB_JOB]");
        client.expect("[WORK_COMPLETE *|done]").unwrap();
    }
}

#[test]
fn a_site_file_is_never_overwritten_and_errors_in_it_name_file_line_and_key() {
    let site = Site::new("bad");
    assert!(site.run("init --yes --name inn").success);
    let file = site.directory.join("site.toml");
    let text = std::fs::read_to_string(&file).unwrap();
    let second = site.run("init --yes");
    assert!(
        !second.success && second.output.contains("was not touched"),
        "{second:?}"
    );
    assert_eq!(std::fs::read_to_string(&file).unwrap(), text);
    std::fs::write(
        &file,
        text.replace("deadline = \"20 s\"", "deadline = \"20 sacks\""),
    )
    .unwrap();
    for command in ["check-config", "serve"] {
        let CommandResult { success, output } = site.run(&format!("{command} --site site.toml"));
        let message = "pumiceway: site.toml, line 27: classes.booking-import.deadline: \"20 sacks\": a time has";
        assert!(
            !success && output.starts_with(message) && output.lines().count() == 1,
            "{output}"
        );
    }
    let CommandResult { success, output } = site.run("serve --site elsewhere.toml");
    assert!(!success && output.contains("pumiceway init"), "{output}");
    let CommandResult { success, output } = site.run("init --yes --site new.toml --once a/b");
    assert!(
        !success && output.contains("classes.a/b") && !site.directory.join("new.toml").exists(),
        "{output}"
    );
}
