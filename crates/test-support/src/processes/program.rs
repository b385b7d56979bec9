//! Starts the program, reads its log, and checks its readiness.

use crate::Peer;
use std::ffi::OsStr;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// If this variable is set, detailed logs of the processes are saved to the folder that it names.
const LOG_FOLDER_VARIABLE: &str = "FAULT_LOGS";

/// Starts the program with a configuration. Returns the process, and the line of its log that names
/// the addresses that it listens on, if it listens.
pub fn serve(program: &Path, config: &Path, arguments: &[&OsStr]) -> (Child, Option<String>) {
    let log_folder = std::env::var_os(LOG_FOLDER_VARIABLE);
    let mut command = Command::new(program);
    command.arg("serve").args(arguments);
    if log_folder.is_some() {
        command.args(["--log-level", "info,pumiceway_net=debug"]);
    }
    let mut child = command
        .env_clear()
        .env("ROUTER_CONFIG", config)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    let file = log_folder.and_then(|folder| log_file(Path::new(&folder), config, child.id()));
    let save_line = move |line: &str| {
        // A log that cannot be saved does not fail the test.
        let _ = file.as_ref().map(|mut file| writeln!(file, "{line}"));
    };
    let listening_line = log
        .by_ref()
        .inspect(|line| save_line(line))
        .find(|line| line.contains("dispatcher is listening"));
    std::thread::spawn(move || log.for_each(|line| save_line(&line)));
    (child, listening_line)
}

fn log_file(folder: &Path, config: &Path, process: u32) -> Option<File> {
    let name = format!("{}.{process}.log", config.file_stem()?.to_string_lossy());
    File::create(folder.join(name)).ok()
}

/// The value of a field in a line of the log.
pub fn field(line: &str, name: &str) -> Option<String> {
    let value = line.split_once(&format!(" {name}="))?.1;
    Some(value.split_whitespace().next()?.to_owned())
}

/// Whether the dispatcher at this address reports that it is ready.
pub fn is_ready(address: &str) -> bool {
    let Ok(stream) = TcpStream::connect(address) else {
        return false;
    };
    let mut peer = Peer::new(stream);
    peer.send("raw GET /-/ready HTTP/1.1\\r\\nHost: x\\r\\n\\r\\n");
    peer.read_message()
        .is_ok_and(|response| response.starts_with("HTTP/1.1 200"))
}
