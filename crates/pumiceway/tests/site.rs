//! A site as a newcomer sets it up: `init`, `check-config`, `serve --site`, and a first job.
#![cfg(feature = "appliance")]

use pumiceway_test_support::Peer;
use std::io::{BufRead, BufReader};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

struct Site {
    folder: PathBuf,
    running: Option<Child>,
}

impl Site {
    fn new(name: &str) -> Site {
        let folder =
            std::env::temp_dir().join(format!("pumiceway-site-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Site {
            folder,
            running: None,
        }
    }

    fn command(&self, words: &str) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pumiceway"));
        command
            .args(words.split(' '))
            .current_dir(&self.folder)
            .env_clear()
            .stdin(Stdio::null());
        command
    }

    /// Runs a command to its end: whether it went well, and what it said.
    fn run(&self, words: &str) -> (bool, String) {
        let out = self.command(words).output().unwrap();
        let said = [out.stdout, out.stderr].concat();
        (out.status.success(), String::from_utf8(said).unwrap())
    }

    /// Starts serving; where the Gearman front listens.
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
        self.running = Some(child);
        let at = line
            .split("\"gearman\":\"")
            .nth(1)
            .unwrap_or_else(|| panic!("{line}"));
        at.split('"').next().unwrap().to_owned()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if let Some(mut child) = self.running.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

// Guards against a site that is set up from the program's own words alone and whose first job does
// not run.
#[test]
fn a_newcomer_sets_a_site_up_and_the_first_job_of_each_class_runs() {
    let mut site = Site::new("first");
    let (good, said) =
        site.run("init --yes --http 127.0.0.1:0 --gearman 127.0.0.1:0 --safe rates --once imports");
    assert!(
        good && said.contains("pumiceway serve --site site.toml"),
        "{said}"
    );
    assert_eq!(
        site.run("check-config --site site.toml"),
        (true, "pumiceway: good\n".to_owned())
    );
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
            match worker.packet().unwrap() {
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

// Guards against a site file that is written over, and against an error that does not say where it
// is.
#[test]
fn a_site_file_is_never_written_over_and_a_bad_one_names_file_line_and_key() {
    let site = Site::new("bad");
    assert!(site.run("init --yes --name inn").0);
    let file = site.folder.join("site.toml");
    let text = std::fs::read_to_string(&file).unwrap();
    let (good, said) = site.run("init --yes");
    assert!(!good && said.contains("was not touched"), "{said}");
    assert_eq!(std::fs::read_to_string(&file).unwrap(), text);
    std::fs::write(
        &file,
        text.replace("deadline = \"20 s\"", "deadline = \"20 sacks\""),
    )
    .unwrap();
    for command in ["check-config", "serve"] {
        let (good, said) = site.run(&format!("{command} --site site.toml"));
        let place = "pumiceway: site.toml, line 27: classes.booking-import.deadline: \"20 sacks\": a time has";
        assert!(
            !good && said.starts_with(place) && said.lines().count() == 1,
            "{said}"
        );
    }
    let (good, said) = site.run("serve --site elsewhere.toml");
    assert!(!good && said.contains("pumiceway init"), "{said}");
    let (good, said) = site.run("init --yes --site new.toml --once a/b");
    assert!(
        !good && said.contains("classes.a/b") && !site.folder.join("new.toml").exists(),
        "{said}"
    );
}
