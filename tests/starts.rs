//! Keyed boxes that start while an address is in use, as processes.

use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

use magpiemoor_lab::ports::free_ports;
use magpiemoor_lab::process::Process;

fn start(folder: &Path, addresses: [SocketAddr; 3]) -> (Process, PathBuf) {
    let log = folder.join("box.log");
    let [callers, peers, operators] = addresses.map(|address| address.to_string());
    let args = [
        "--callers",
        &callers,
        "--peers-address",
        &peers,
        "--operators",
        &operators,
    ];
    let program = Path::new(env!("CARGO_BIN_EXE_magpiemoord"));
    let process = Process::start_program(program, "box", &args, &log).unwrap();
    (process, log)
}

/// A daemon whose predecessor still held an address ended at once.
#[test]
fn a_keyed_box_whose_address_is_in_use_starts_once_it_is_free() {
    let ports = free_ports(3).unwrap();
    let addresses = [0, 1, 2].map(|n| SocketAddr::from(([127, 0, 0, 1], ports[n])));
    let folder = std::env::temp_dir().join(format!("magpiemoor-starts-{}", ports[0]));
    std::fs::create_dir_all(&folder).unwrap();
    let holder = std::net::TcpListener::bind(addresses[0]).unwrap();
    let (mut process, log) = start(&folder, addresses);
    let logged = || std::fs::read_to_string(&log).unwrap_or_default();
    while !logged().contains("tries again") {
        assert!(process.is_running(), "{}", logged());
        std::thread::sleep(Duration::from_millis(5));
    }
    drop(holder);
    while !logged().contains("listens for callers") {
        assert!(process.is_running(), "{}", logged());
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(TcpStream::connect(addresses[0]).is_ok());
    process.kill();
    std::fs::remove_dir_all(folder).unwrap();
}
