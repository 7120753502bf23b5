//! Requirements of the deployment platform on the deploy file and the program: one process from `exec` on, linked
//! dynamically, without fork, io_uring, splice, sendfile and Unix sockets.

#[allow(dead_code)] // other tests use the rest of it
mod sockets;

use seccompiler::{
    apply_filter, BpfProgram, SeccompAction, SeccompCmpArgLen, SeccompCmpOp, SeccompCondition, SeccompFilter,
    SeccompRule, TargetArch,
};
use serde_json::json;
use sockets::*;
use std::collections::BTreeMap;
use std::os::unix::process::CommandExt;
use std::process::Command;

const DEPLOY: &str = include_str!("../../../deploy/balancer.toml");
/// Environment variable with the path of the program that `confined` executes.
const CONFINED: &str = "FENNELBEAM_TEST_CONFINED";

/// Numbers of system calls on Linux, and the architecture that the filter checks for.
#[cfg(target_arch = "x86_64")]
mod number {
    pub const ARCH: super::TargetArch = super::TargetArch::x86_64;
    pub const SENDFILE: i64 = 40;
    pub const SOCKET: i64 = 41;
    pub const CLONE: i64 = 56;
    /// fork and vfork.
    pub const FORKS: &[i64] = &[57, 58];
    pub const SPLICE: i64 = 275;
    pub const TEE: i64 = 276;
    pub const VMSPLICE: i64 = 278;
    pub const IO_URING: [i64; 3] = [425, 426, 427];
    pub const CLONE3: i64 = 435;
}

/// Numbers of system calls on Linux, and the architecture that the filter checks for.
#[cfg(target_arch = "aarch64")]
mod number {
    pub const ARCH: super::TargetArch = super::TargetArch::aarch64;
    pub const SENDFILE: i64 = 71;
    pub const VMSPLICE: i64 = 75;
    pub const SPLICE: i64 = 76;
    pub const TEE: i64 = 77;
    pub const SOCKET: i64 = 198;
    pub const CLONE: i64 = 220;
    /// This architecture has neither fork nor vfork: both are calls of clone.
    pub const FORKS: &[i64] = &[];
    pub const IO_URING: [i64; 3] = [425, 426, 427];
    pub const CLONE3: i64 = 435;
}

/// The flag of clone for threads, and the family of Unix sockets.
const CLONE_THREAD: u64 = 0x1_0000;
const AF_UNIX: u64 = 1;

fn install_filter(rules: BTreeMap<i64, Vec<SeccompRule>>, action: SeccompAction) {
    let filter = SeccompFilter::new(rules, SeccompAction::Allow, action, number::ARCH).unwrap();
    let program: BpfProgram = filter.try_into().unwrap();
    apply_filter(&program).unwrap();
}

/// A helper process of the test below, not a test: it executes the program under a filter that kills it at the first
/// system call that the platform forbids. Without the environment variable it does nothing.
#[test]
fn confined() {
    let Ok(program) = std::env::var(CONFINED) else { return };
    let when = |arg, op, value| {
        let condition = SeccompCondition::new(arg, SeccompCmpArgLen::Dword, op, value).unwrap();
        vec![SeccompRule::new(vec![condition]).unwrap()]
    };
    use number::*;
    let mut forbidden = BTreeMap::from([
        (CLONE, when(0, SeccompCmpOp::MaskedEq(CLONE_THREAD), 0)),
        (SOCKET, when(0, SeccompCmpOp::Eq, AF_UNIX)),
    ]);
    for call in [SENDFILE, SPLICE, TEE, VMSPLICE].iter().chain(FORKS).chain(&IO_URING) {
        forbidden.insert(*call, Vec::new());
    }
    // A filter cannot inspect the arguments of clone3, so the filter reports it as missing (ENOSYS): the C library then
    // falls back to clone, whose arguments can be inspected.
    install_filter(BTreeMap::from([(CLONE3, Vec::new())]), SeccompAction::Errno(38));
    install_filter(forbidden, SeccompAction::KillProcess);
    panic!("{}", Command::new(program).arg("serve").exec());
}

#[test]
fn start_request_reload_and_shutdown_need_no_forbidden_system_call() {
    let peers = Peers::start(1);
    let mut command = Command::new(std::env::current_exe().unwrap());
    command.args(["--exact", "confined", "--nocapture"]).env(CONFINED, env!("CARGO_BIN_EXE_api-gateway"));
    let limits = json!({"cores": 1.0, "memory_mb": 64, "sockets": 128});
    let known = [host_entry("s-1", peers.addrs[0], "in_service", 0)];
    let counter = peers.addrs[0];
    let mut program = Program::spawn(command, limits, settings(), &known, counter, counter);
    let mut client = program.client();
    client.wait_until_ready();
    client.send_get(1);
    peers.next_command().serve("one");
    assert_eq!(client.read_answer(), "one");
    program.reload(counter, counter);
    program.wait_for_log(1, "configuration reloaded");
    client.send_get(2);
    peers.next_command().serve("two");
    assert_eq!(client.read_answer(), "two");
    program.terminate();
    let status = program.wait_for_exit();
    assert_eq!(status.code(), Some(0), "{status}: {:?}", program.log());
}

#[test]
fn the_deploy_file_builds_and_starts_one_process() {
    let value = |key: &str| {
        let line = DEPLOY.lines().find_map(|line| line.strip_prefix(key)?.trim_start().strip_prefix('='));
        line.unwrap_or_else(|| panic!("no {key}")).trim().trim_matches('"').to_owned()
    };
    assert_eq!(value("build"), "cargo build --release");
    let run = value("run");
    let arguments: Vec<&str> = run.split_whitespace().collect();
    assert_eq!(arguments[..3], ["exec", "target/release/api-gateway", "serve"], "{run}");
    assert!(
        !run.contains([';', '&', '|', '$', '`', '\n']),
        "not a single command without shell syntax: {run}"
    );
    let sim = value("sim");
    assert_eq!(sim, "exec target/release/simulator-adapter");
}

#[cfg(target_os = "linux")]
#[test]
fn the_program_is_linked_dynamically_against_the_c_library() {
    // The names of the interpreter and of the libraries in the dynamic section are text in the file.
    let bytes = std::fs::read(env!("CARGO_BIN_EXE_api-gateway")).unwrap();
    let contains = |text: &[u8]| bytes.windows(text.len()).any(|window| window == text);
    assert!(
        contains(b"libc.so.6\0") && contains(b"ld-linux"),
        "a library of the platform cannot be loaded into the program"
    );
}
