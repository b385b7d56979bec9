//! Tests of the command line: configuration errors, the console, and signals.

use pumiceway_test_support::{SETTINGS, ScenarioRunner};
use std::io::{BufRead, BufReader, Lines, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Output};
use std::time::Duration;

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("pumiceway-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

fn run_pumiceway(arguments: &[&str], config: Option<&PathBuf>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pumiceway"));
    command.args(arguments).env_clear();
    command.envs(config.map(|path| ("ROUTER_CONFIG", path)));
    command.output().unwrap()
}

#[test]
fn a_bad_configuration_is_refused_with_a_message_that_names_the_key() {
    let good = format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f","settings":{SETTINGS}}}"#
    );
    let cases = [
        ("listen", good.replace("127.0.0.1:0", "nowhere")),
        ("discovery", good.replace("127.0.0.1:1", "nowhere")),
        ("seed", good.replace("8c1f", "xyz")),
        (
            "settings.lanes[0].aim-us",
            good.replace("\"aim-us\":500000", "\"aim-us\":\"soon\""),
        ),
        (
            "missing field `lanes`",
            good.replace("\"lanes\"", "\"other\""),
        ),
        (
            "my-zone",
            good.replace(r#""my-zone":"z""#, r#""my-zone":"y""#),
        ),
        (
            "limits.sockets",
            good.replace("\"seed\"", "\"limits\":{\"sockets\":9},\"seed\""),
        ),
    ];
    for (index, (key, text)) in cases.iter().enumerate() {
        let config = write_file(&format!("bad-{index}.json"), text);
        for command in ["serve", "check-config"] {
            let out = run_pumiceway(&[command], Some(&config));
            let message = String::from_utf8_lossy(&out.stderr);
            assert_eq!(out.status.code(), Some(2), "{key}: {message}");
            assert!(
                message.contains(key) && message.lines().count() == 1,
                "{key}: {message}"
            );
        }
        std::fs::remove_file(config).unwrap();
    }
    assert!(
        String::from_utf8_lossy(&run_pumiceway(&["serve"], None).stderr).contains("ROUTER_CONFIG")
    );
    let config = write_file("good.json", &good);
    assert!(
        run_pumiceway(&["check-config"], Some(&config))
            .status
            .success()
    );
    let gearman = [
        ("listen", "connections = 3\n"),
        ("listen", "listen = \"x\"\n"),
        ("connections", "listen = \"127.0.0.1:0\"\nconnections = 0\n"),
        ("conections", "listen = \"127.0.0.1:0\"\nconections = 3\n"),
        (
            "functions.push.class",
            "listen = \"127.0.0.1:0\"\n[functions.push]\nclass = \"other\"\n",
        ),
        (
            "functions.push.slots",
            "listen = \"127.0.0.1:0\"\n[functions.push]\nclass = \"rate-push\"\nslots = 0\n",
        ),
    ];
    for (index, (key, text)) in gearman.iter().enumerate() {
        let path = write_file(&format!("gearman-{index}.toml"), text);
        let out = run_pumiceway(
            &["check-config", "--gearman", path.to_str().unwrap()],
            Some(&config),
        );
        let message = String::from_utf8_lossy(&out.stderr);
        assert!(
            out.status.code() == Some(2) && message.contains(key),
            "{key}: {message}"
        );
        std::fs::remove_file(path).unwrap();
    }
    let deployed = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/gearman.toml");
    assert!(
        run_pumiceway(&["check-config", "--gearman", deployed], Some(&config))
            .status
            .success()
    );
    std::fs::remove_file(config).unwrap();
}

#[test]
fn the_console_shows_functions_endpoints_and_workers() {
    let mut runner = ScenarioRunner::run(
        &["w1"],
        "g2 send [CAN_DO rate-push]
         g2 send [ECHO_REQ x]
         g2 expect [ECHO_RES x]",
    );
    let address = runner.gearman.to_string();
    let console = |command: &str| {
        let out = run_pumiceway(
            &["console", "--address", &address, "--command", command],
            None,
        );
        assert!(
            out.status.success(),
            "{}",
            String::from_utf8_lossy(&out.stderr)
        );
        String::from_utf8(out.stdout).unwrap()
    };
    let status = console("status");
    let rows: Vec<Vec<&str>> = status
        .lines()
        .map(|line| line.split_whitespace().collect())
        .collect();
    assert_eq!(rows[1], ["booking-import", "0", "0", "0"]);
    assert_eq!(rows[2], ["rate-push", "0", "0", "1"]);
    assert!(console("routes").contains("w1") && console("routes").contains("gearman:0000"));
    assert!(console("workers").contains(": rate-push"));
    assert_eq!(console("version").trim(), env!("CARGO_PKG_VERSION"));
    runner.request_stop();
    runner.wait_for_exit();
}

/// A process that runs longer than this is killed, so that tests do not hang.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(30);

fn kill_after_timeout(child: u32) {
    std::thread::spawn(move || {
        std::thread::sleep(PROCESS_TIMEOUT);
        let _ = Command::new("kill")
            .args(["-KILL", &child.to_string()])
            .status();
    });
}

fn send_signal(process: u32, name: &str) {
    let status = Command::new("kill")
        .args([name, &process.to_string()])
        .status();
    assert!(status.unwrap().success());
}

/// The lines of the process's log.
fn log_lines(child: &mut Child) -> Lines<BufReader<ChildStderr>> {
    BufReader::new(child.stderr.take().unwrap()).lines()
}

/// Starts a dispatcher process with this configuration and these environment variables.
fn serve(config: &PathBuf, environment: &[(&str, &str)]) -> Child {
    let child = Command::new(env!("CARGO_BIN_EXE_pumiceway"))
        .arg("serve")
        .env_clear()
        .env("ROUTER_CONFIG", config)
        .envs(environment.iter().copied())
        .stderr(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    kill_after_timeout(child.id());
    child
}

#[test]
fn a_signal_stops_a_process_without_open_requests() {
    let config = write_file(
        "stop.json",
        &format!(r#"{{"listen":"127.0.0.1:0","settings":{SETTINGS}}}"#),
    );
    let mut child = serve(&config, &[]);
    let line = log_lines(&mut child).next().unwrap().unwrap();
    assert!(
        line.contains("dispatcher is listening name=") && line.contains("address=127.0.0.1:"),
        "{line}"
    );
    send_signal(child.id(), "-TERM");
    assert!(child.wait().unwrap().success());
    std::fs::remove_file(config).unwrap();
}

#[test]
fn a_hang_up_reloads_the_configuration_and_a_bad_one_is_refused() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let (old, address) = ("127.0.0.1:1", discovery.local_addr().unwrap().to_string());
    let text = format!(r#"{{"listen":"127.0.0.1:0","discovery":"{old}","settings":{SETTINGS}}}"#);
    let config = write_file("hang-up.json", &text);
    let mut child = serve(&config, &[("ROUTER_DISCOVERY", old)]);
    let process = child.id();
    let mut log = log_lines(&mut child);
    let mut wait_for_log = |part: &str| log.any(|line| line.unwrap().contains(part));
    assert!(wait_for_log("dispatcher is listening name="));
    std::fs::write(&config, text.replace(old, "nowhere")).unwrap();
    send_signal(process, "-HUP");
    assert!(wait_for_log(
        "the old one remains in use reason=discovery: \"nowhere\""
    ));
    std::fs::write(
        &config,
        text.replace(old, &address)
            .replace("\"most-tries\":6", "\"most-tries\":5"),
    )
    .unwrap();
    send_signal(process, "-HUP");
    assert!(wait_for_log(
        "that take a restart to apply: settings.limits"
    ));
    // On a reload the address in the file takes precedence over the variable.
    let mut request = String::new();
    BufReader::new(discovery.accept().unwrap().0)
        .read_line(&mut request)
        .unwrap();
    assert!(request.starts_with("GET /api/targets"), "{request}");
    send_signal(process, "-TERM");
    send_signal(process, "-HUP");
    assert!(child.wait().unwrap().success());
    std::fs::remove_file(config).unwrap();
}

#[test]
fn signals_during_a_shutdown_lose_no_response() {
    let worker = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = worker.local_addr().unwrap();
    let endpoint =
        format!(r#"{{"name":"w1","address":"{address}","zone":"z","type":"k","status":"ready"}}"#);
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let discovery_address = discovery.local_addr().unwrap();
    let list = format!(r#"{{"index":1,"snapshot":true,"endpoints":[{endpoint}]}}"#);
    let text = format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"{discovery_address}","known":{list},
          "settings":{SETTINGS}}}"#
    );
    let config = write_file("signals.json", &text);
    let mut child = serve(&config, &[]);
    // Discovery confirms the list, and sends nothing more.
    let mut watch = pumiceway_test_support::Peer::new(discovery.accept().unwrap().0);
    watch.read_message().unwrap();
    watch.send("200");
    watch.send(r#"+ {"index":1,"snapshot":false,"endpoints":[]}"#);
    let mut log = log_lines(&mut child);
    let listening_at = log
        .find_map(|line| {
            line.unwrap()
                .split_once("address=")
                .map(|(_, address)| address.to_owned())
        })
        .unwrap();
    std::thread::spawn(move || log.for_each(drop));
    let mut client = TcpStream::connect(listening_at.trim()).unwrap();
    let head = "POST /booking-import/k HTTP/1.1\r\nX-Txn: t1\r\nX-Remaining-Ms: 5000\r\n";
    client
        .write_all(format!("{head}Content-Length: 1\r\n\r\nx").as_bytes())
        .unwrap();
    let mut job = worker.accept().unwrap().0;
    let mut request = [0; 4096];
    let length = job.read(&mut request).unwrap();
    assert!(String::from_utf8_lossy(&request[..length]).contains("x-txn: t1"));
    for name in ["-TERM", "-HUP", "-TERM", "-INT", "-HUP"] {
        send_signal(child.id(), name);
    }
    // The client's connection stays open until its response is sent, and is then closed.
    let line = "{\"id\":\"t1\",\"from\":\"w1\",\"state\":\"done\",\"result\":\"in\"}\n";
    let length = line.len();
    let response_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    job.write_all(format!("{response_head}{length:x}\r\n{line}\r\n0\r\n\r\n").as_bytes())
        .unwrap();
    let mut text = String::new();
    client.read_to_string(&mut text).unwrap();
    assert!(
        text.starts_with("HTTP/1.1 200") && text.ends_with("\r\n\r\nin"),
        "{text}"
    );
    assert!(child.wait().unwrap().success());
    std::fs::remove_file(config).unwrap();
}
