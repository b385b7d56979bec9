//! The program from its command line: configuration errors, the console, and a stop by signal.

use pumiceway_test_support::{SETTINGS, Stage};
use std::path::PathBuf;
use std::process::{Child, Command, Output};

fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("pumiceway-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

fn pumiceway(arguments: &[&str], config: Option<&PathBuf>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pumiceway"));
    command.args(arguments).env_clear();
    command.envs(config.map(|c| ("ROUTER_CONFIG", c)));
    command.output().unwrap()
}

// Guards against a dispatcher that starts on a bad configuration, or that does not say which key is
// bad.
#[test]
fn bad_configuration_ends_with_a_message_that_names_the_key() {
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
    for (n, (key, text)) in cases.iter().enumerate() {
        let config = file(&format!("bad-{n}.json"), text);
        for command in ["serve", "check-config"] {
            let out = pumiceway(&[command], Some(&config));
            let said = String::from_utf8_lossy(&out.stderr);
            assert_eq!(out.status.code(), Some(2), "{key}: {said}");
            assert!(
                said.contains(key) && said.lines().count() == 1,
                "{key}: {said}"
            );
        }
        std::fs::remove_file(config).unwrap();
    }
    assert!(String::from_utf8_lossy(&pumiceway(&["serve"], None).stderr).contains("ROUTER_CONFIG"));
    let config = file("good.json", &good);
    assert!(pumiceway(&["check-config"], Some(&config)).status.success());
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
    for (n, (key, text)) in gearman.iter().enumerate() {
        let path = file(&format!("gearman-{n}.toml"), text);
        let out = pumiceway(
            &["check-config", "--gearman", path.to_str().unwrap()],
            Some(&config),
        );
        let said = String::from_utf8_lossy(&out.stderr);
        assert!(
            out.status.code() == Some(2) && said.contains(key),
            "{key}: {said}"
        );
        std::fs::remove_file(path).unwrap();
    }
    let deployed = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/gearman.toml");
    assert!(
        pumiceway(&["check-config", "--gearman", deployed], Some(&config))
            .status
            .success()
    );
    std::fs::remove_file(config).unwrap();
}

#[test]
fn the_console_shows_how_things_stand() {
    let mut stage = Stage::play(
        &["w1"],
        "g2 send [CAN_DO rate-push]
         g2 send [ECHO_REQ x]
         g2 expect [ECHO_RES x]",
    );
    let address = stage.gearman.to_string();
    let console = |command: &str| {
        let out = pumiceway(
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
        .map(|l| l.split_whitespace().collect())
        .collect();
    assert_eq!(rows[1], ["booking-import", "0", "0", "0"]);
    assert_eq!(rows[2], ["rate-push", "0", "0", "1"]);
    assert!(console("routes").contains("w1") && console("routes").contains("gearman:0000"));
    assert!(console("workers").contains(": rate-push"));
    assert_eq!(console("version").trim(), env!("CARGO_PKG_VERSION"));
    stage.stop();
    stage.ended();
}

/// Prevents: a program that does not say what is waited for holds the tests up for ever.
fn give_up_on(child: u32) {
    std::thread::spawn(move || {
        std::thread::sleep(std::time::Duration::from_secs(30));
        let _ = Command::new("kill")
            .args(["-KILL", &child.to_string()])
            .status();
    });
}

/// The program, that serves on this configuration.
fn serve(config: &PathBuf, more: &[(&str, &str)]) -> Child {
    let child = Command::new(env!("CARGO_BIN_EXE_pumiceway"))
        .arg("serve")
        .env_clear()
        .env("ROUTER_CONFIG", config)
        .envs(more.iter().copied())
        .stderr(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    give_up_on(child.id());
    child
}

#[test]
fn a_signal_stops_the_program_once_nothing_is_owed() {
    let config = file(
        "stop.json",
        &format!(r#"{{"listen":"127.0.0.1:0","settings":{SETTINGS}}}"#),
    );
    let mut child = serve(&config, &[]);
    let mut line = String::new();
    std::io::BufRead::read_line(
        &mut std::io::BufReader::new(child.stderr.take().unwrap()),
        &mut line,
    )
    .unwrap();
    assert!(
        line.contains("dispatcher is listening name=") && line.contains("address=127.0.0.1:"),
        "{line}"
    );
    let kill = Command::new("kill")
        .args(["-TERM", &child.id().to_string()])
        .status()
        .unwrap();
    assert!(kill.success());
    assert!(child.wait().unwrap().success());
    std::fs::remove_file(config).unwrap();
}

// Guards against a hang-up that ends the program, a reload that goes unheard, and a bad file that
// takes it down.
#[test]
fn a_hang_up_reads_the_configuration_again_and_a_bad_one_is_not_taken() {
    use std::io::{BufRead, BufReader};
    let discovery = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (old, address) = ("127.0.0.1:1", discovery.local_addr().unwrap().to_string());
    let text = format!(r#"{{"listen":"127.0.0.1:0","discovery":"{old}","settings":{SETTINGS}}}"#);
    let config = file("hang-up.json", &text);
    let mut child = serve(&config, &[("ROUTER_DISCOVERY", old)]);
    let (signal, mut log) = (
        child.id().to_string(),
        BufReader::new(child.stderr.take().unwrap()).lines(),
    );
    let send = |name: &str| {
        assert!(
            Command::new("kill")
                .args([name, &signal])
                .status()
                .unwrap()
                .success()
        )
    };
    let mut until = |part: &str| log.any(|line| line.unwrap().contains(part));
    assert!(until("dispatcher is listening name="));
    std::fs::write(&config, text.replace(old, "nowhere")).unwrap();
    send("-HUP");
    assert!(until("the old one stays why=discovery: \"nowhere\""));
    std::fs::write(
        &config,
        text.replace(old, &address)
            .replace("\"most-tries\":6", "\"most-tries\":5"),
    )
    .unwrap();
    send("-HUP");
    assert!(until("that take a restart to apply: settings.limits"));
    // The file's address wins over the variable's, which told of the start.
    let mut asked = String::new();
    BufReader::new(discovery.accept().unwrap().0)
        .read_line(&mut asked)
        .unwrap();
    assert!(asked.starts_with("GET /api/targets"), "{asked}");
    send("-TERM");
    send("-HUP");
    assert!(child.wait().unwrap().success());
    std::fs::remove_file(config).unwrap();
}

// Guards against a second signal, or a hang-up in the middle of a stop, that ends the program with
// a job in flight; and against one that does not end once that is answered.
#[test]
fn signals_in_the_middle_of_a_stop_take_no_answer_along() {
    use std::io::{BufRead, BufReader, Read, Write};
    use std::net::{TcpListener, TcpStream};
    let worker = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = worker.local_addr().unwrap();
    let line =
        format!(r#"{{"name":"w1","address":"{address}","zone":"z","type":"k","status":"ready"}}"#);
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = discovery.local_addr().unwrap();
    let text = format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"{at}","known":{{"index":1,"snapshot":true,"endpoints":[{line}]}},
          "settings":{SETTINGS}}}"#
    );
    let config = file("signals.json", &text);
    let mut child = serve(&config, &[]);
    // Discovery confirms the list, and is silent from then on.
    let mut watch = pumiceway_test_support::Peer::new(discovery.accept().unwrap().0);
    watch.message().unwrap();
    watch.send("200");
    watch.send(r#"+ {"index":1,"snapshot":false,"endpoints":[]}"#);
    let mut log = BufReader::new(child.stderr.take().unwrap()).lines();
    let listens = log
        .find_map(|line| {
            line.unwrap()
                .split_once("address=")
                .map(|(_, a)| a.to_owned())
        })
        .unwrap();
    std::thread::spawn(move || log.for_each(drop));
    let mut client = TcpStream::connect(listens.trim()).unwrap();
    let head = "POST /booking-import/k HTTP/1.1\r\nX-Txn: t1\r\nX-Remaining-Ms: 5000\r\n";
    client
        .write_all(format!("{head}Content-Length: 1\r\n\r\nx").as_bytes())
        .unwrap();
    let mut job = worker.accept().unwrap().0;
    let mut asked = [0; 4096];
    let n = job.read(&mut asked).unwrap();
    assert!(String::from_utf8_lossy(&asked[..n]).contains("x-txn: t1"));
    let signal = child.id().to_string();
    for name in ["-TERM", "-HUP", "-TERM", "-INT", "-HUP"] {
        assert!(
            Command::new("kill")
                .args([name, &signal])
                .status()
                .unwrap()
                .success()
        );
    }
    // The connection that the client has stays open until its answer, and is closed after it.
    let line = "{\"id\":\"t1\",\"from\":\"w1\",\"state\":\"done\",\"result\":\"in\"}\n";
    let length = line.len();
    let answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    job.write_all(format!("{answer}{length:x}\r\n{line}\r\n0\r\n\r\n").as_bytes())
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
