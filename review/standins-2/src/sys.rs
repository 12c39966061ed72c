//! The few system calls that the standard library has no function for.

use std::net::{SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd;

pub const SIGTERM: i32 = 15;

const AF_INET: u16 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

#[repr(C)]
struct SocketAddressV4 {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    rest: [u8; 8],
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const SocketAddressV4, length: u32) -> i32;
}

/// Sends a signal to a process that this program has started.
pub fn signal(pid: u32, signal: i32) {
    if let Ok(pid) = i32::try_from(pid) {
        // SAFETY: no memory is shared with the call.
        unsafe { kill(pid, signal) };
    }
}

/// Connects as a host behind a network link does: with the packet size of Ethernet in place of that
/// of the loopback interface, and with a receive buffer of the given size in bytes.
pub fn connect_as_remote(to: SocketAddrV4, receive_buffer: i32) -> std::io::Result<TcpStream> {
    let address = SocketAddressV4 {
        family: AF_INET,
        port: to.port().to_be_bytes(),
        ip: to.ip().octets(),
        rest: [0; 8],
    };
    let segment = 1_460;
    // SAFETY: the values outlive the calls, and their lengths are given; the descriptor is owned
    // by the returned stream alone.
    unsafe {
        let fd = socket(i32::from(AF_INET), SOCK_STREAM, 0);
        if fd < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &raw const segment, 4);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &raw const receive_buffer, 4);
        if connect(fd, &raw const address, 16) != 0 {
            return Err(std::io::Error::last_os_error());
        }
        Ok(stream)
    }
}
