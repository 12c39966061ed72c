//! The signals that a daemon must not be ended by before it handles them.

/// Ignores SIGHUP until a handler is installed.
///
/// It says that the settings file has changed, and may come at any time; by default it ends the
/// process. A daemon calls this first: it reads the file afterwards anyway.
pub fn ignore_hangup() {
    // SAFETY: it only changes what the process does with one signal, and takes no pointer.
    let previous = unsafe { libc::signal(libc::SIGHUP, libc::SIG_IGN) };
    if previous == libc::SIG_ERR {
        eprintln!("SIGHUP can't be ignored; it ends the process until its handler is installed");
    }
}
