//! What operators do, against the platform's stand-in: refusals before anything
//! is written, answers that are lost after the write, and races.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

/// A platform's stand-in that ends with the test.
struct Platform {
    child: Child,
    address: String,
}

impl Platform {
    fn spawn(port: u16) -> Platform {
        let address = format!("127.0.0.1:{port}");
        let child = Command::new(env!("CARGO_BIN_EXE_standin"))
            .args(["platform", "--listen", &address])
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let platform = Platform { child, address };
        for _ in 0..200 {
            if platform.operate(&["list"]).status.success() {
                return platform;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        panic!("the platform's stand-in does not answer");
    }

    fn command(&self, args: &[&str]) -> Command {
        let program = Path::new(env!("CARGO_BIN_EXE_standin")).with_file_name("burdocklever");
        let mut command = Command::new(program);
        command
            .args(args)
            .args(["--platform", &self.address])
            .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join(".."));
        command
    }

    fn operate(&self, args: &[&str]) -> Output {
        self.command(args).output().unwrap()
    }

    /// Tells the stand-in how to behave.
    fn behave(&self, word: &str) {
        let told = tokio::runtime::Runtime::new().unwrap().block_on(async {
            let http = reqwest::Client::builder().no_proxy().build().unwrap();
            let url = format!("http://{}/control", self.address);
            http.post(url).body(word.to_string()).send().await.unwrap()
        });
        assert!(told.status().is_success());
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

const CATALOGUE: &str = "settings/gh-south/catalogue.ini";

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Writes a file that one test uses.
fn file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

#[test]
fn a_catalogue_is_put_shown_and_removed() {
    let platform = Platform::spawn(27_001);
    assert_eq!(
        text(&platform.operate(&["put", CATALOGUE]).stdout),
        "version 2\n"
    );
    assert_eq!(
        text(&platform.operate(&["put", CATALOGUE]).stdout),
        "nothing to change\n"
    );
    let diff = text(&platform.operate(&["diff", CATALOGUE]).stdout);
    assert_eq!(diff, "= kiosk-ledger\n= manifest-desk\n");
    assert!(platform
        .operate(&["remove", "manifest-desk"])
        .status
        .success());
    let diff = text(&platform.operate(&["diff", CATALOGUE]).stdout);
    assert_eq!(diff, "= kiosk-ledger\n+ manifest-desk\n");
    let missing = platform.operate(&["remove", "manifest-desk"]);
    assert!(!missing.status.success());
    assert!(text(&missing.stderr).contains("BL302"));
}

#[test]
fn a_taken_address_is_refused_before_anything_is_written() {
    let platform = Platform::spawn(27_002);
    assert!(platform.operate(&["put", CATALOGUE]).status.success());
    let before = text(&platform.operate(&["list", "--json"]).stdout);
    let entry = "[service intruder]\nowner = desk\nclass = bulk\naddress = 127.0.0.1:21020\n\
                 slots = 1\nconns = 1\ncold-slots = 1\ncold-conns = 1\nonce = false\n\
                 deadline = 1s\n";
    let path = file("intruder.ini", entry);
    let refused = platform.operate(&["put", &path.to_string_lossy()]);
    assert!(!refused.status.success());
    assert!(
        text(&refused.stderr).contains("BL303"),
        "{}",
        text(&refused.stderr)
    );
    assert_eq!(text(&platform.operate(&["list", "--json"]).stdout), before);
}

#[test]
fn a_write_whose_answer_is_lost_is_resolved_by_reading_back() {
    let platform = Platform::spawn(27_003);
    platform.behave("lose");
    let put = platform.operate(&["put", CATALOGUE]);
    assert_eq!(text(&put.stdout), "version 2\n", "{}", text(&put.stderr));
    platform.behave("down");
    let failed = platform.operate(&["list"]);
    assert!(!failed.status.success());
    assert!(text(&failed.stderr).contains("BL310"));
}

#[test]
fn racing_operators_end_in_one_state_and_clear_conflicts() {
    let platform = Platform::spawn(27_004);
    assert!(platform.operate(&["put", CATALOGUE]).status.success());
    let entry = std::fs::read_to_string(
        Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("..")
            .join(CATALOGUE),
    );
    let entry = entry.unwrap();
    let racers: Vec<Child> = (0..6)
        .map(|n| {
            let changed = entry.replace("owner = volta-ledger-team", &format!("owner = team-{n}"));
            let path = file(&format!("racer-{n}.ini"), &changed);
            platform
                .command(&["put", &path.to_string_lossy()])
                .stdout(Stdio::piped())
                .stderr(Stdio::piped())
                .spawn()
                .unwrap()
        })
        .collect();
    let outputs: Vec<Output> = racers
        .into_iter()
        .map(|child| child.wait_with_output().unwrap())
        .collect();
    let winners = outputs.iter().filter(|o| o.status.success()).count();
    assert!(winners >= 1);
    for loser in outputs.iter().filter(|o| !o.status.success()) {
        assert!(
            text(&loser.stderr).contains("BL301"),
            "{}",
            text(&loser.stderr)
        );
    }
    let shown = text(&platform.operate(&["show", "kiosk-ledger"]).stdout);
    assert!(shown.contains("team-"), "{shown}");
}
